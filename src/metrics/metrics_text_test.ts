import { describe, expect, it } from "vitest";
import { Metrics } from "./metrics.ts";
import { renderMetrics } from "./metrics_text.ts";

describe(renderMetrics.name, () => {
  function doTest(
    record: (metrics: Metrics) => void,
    lines: readonly string[],
  ) {
    const metrics = new Metrics({ tags: {} });
    record(metrics);
    const rendered = renderMetrics(metrics).split("\n");
    expect(rendered.filter((line) => line !== "" && !line.startsWith("#")))
      .toEqual(lines);
  }

  it("renders counters and gauges", () => {
    doTest((m) => m.count("refusals.noTarget").gauge("targets.serving", 3), [
      "nutmegreel_refusals_noTarget 1",
      "nutmegreel_targets_serving 3",
    ]);
  });

  it("renders durations with their quantiles", () => {
    doTest((m) => {
      for (let ms = 1; ms <= 100; ms += 1) m.timing("requests.duration", ms);
    }, [
      'nutmegreel_requests_duration{quantile="0.5"} 50',
      'nutmegreel_requests_duration{quantile="0.9"} 90',
      'nutmegreel_requests_duration{quantile="0.99"} 99',
      "nutmegreel_requests_duration_sum 5050",
      "nutmegreel_requests_duration_count 100",
    ]);
  });

  it("includes the help text and type of each metric", () => {
    const metrics = new Metrics({ tags: {} }).count("samples.made");
    expect(renderMetrics(metrics)).toContain(
      "# HELP nutmegreel_samples_made Samples generated completely\n" +
        "# TYPE nutmegreel_samples_made counter\n",
    );
  });
});
