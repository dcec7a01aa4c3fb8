/** Renders metrics as the text that collectors read. */
import { metricCatalogue, type MetricKind } from "./metric_catalogue.ts";
import type { Metrics } from "./metrics.ts";

const PREFIX = "nutmegreel_";
const QUANTILES: readonly number[] = [0.5, 0.9, 0.99];
const PERCENT = 100;

const TYPES: Readonly<Record<MetricKind, string>> = {
  counter: "counter",
  gauge: "gauge",
  timing: "summary",
};

/**
 * Gets the text of all metrics that were touched.
 *
 * @example
 * ```ts
 * res.end(renderMetrics(metrics));
 * ```
 */
export function renderMetrics(metrics: Metrics): string {
  const catalogue = metricCatalogue();
  const lines: string[] = [];
  for (const [name, value] of Object.entries(metrics.values())) {
    const described = catalogue.get(name) ?? catalogue.get(patternOf(name));
    const label = labelOf(name);
    const kind = described?.kind ?? "gauge";
    lines.push(`# HELP ${label} ${described?.text ?? name}`);
    lines.push(`# TYPE ${label} ${TYPES[kind]}`);
    lines.push(...linesOf(metrics, { name, label, kind, value }));
  }
  return lines.join("\n") + "\n";
}

function linesOf(
  metrics: Metrics,
  metric: { name: string; label: string; kind: MetricKind; value: number },
): string[] {
  const { name, label, kind, value } = metric;
  const histogram = metrics.histograms.get(name);
  if (kind !== "timing" || histogram === undefined) {
    return [`${label} ${value}`];
  }
  return [
    ...QUANTILES.map((q) =>
      `${label}{quantile="${q}"} ${histogram.getValueAtPercentile(q * PERCENT)}`
    ),
    `${label}_sum ${histogram.mean * histogram.totalCount}`,
    `${label}_count ${histogram.totalCount}`,
  ];
}

function labelOf(name: string): string {
  return PREFIX + name.replace(/[^a-zA-Z0-9]/g, "_");
}

/** Retry counters are described together. */
function patternOf(name: string): string {
  return name.replace(/\.[^.]*$/, ".*");
}
