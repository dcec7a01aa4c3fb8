/** Renders metrics in the Prometheus text format. */
import { createMetricCatalogue, type MetricKind } from "./metric_catalogue.ts";
import type { Metrics } from "./metrics.ts";

const PREFIX = "nutmegreel_";
const QUANTILES: readonly number[] = [0.5, 0.9, 0.99];
const PERCENT = 100;

const PROMETHEUS_TYPES: Readonly<Record<MetricKind, string>> = {
  counter: "counter",
  gauge: "gauge",
  timing: "summary",
};

/**
 * Renders all metrics that were recorded at least once.
 *
 * @example
 * ```ts
 * res.end(renderMetrics(metrics));
 * ```
 */
export function renderMetrics(metrics: Metrics): string {
  const catalogue = createMetricCatalogue();
  const lines: string[] = [];
  for (const [name, value] of Object.entries(metrics.values())) {
    const description = catalogue.get(name) ??
      catalogue.get(toCatalogueName(name));
    const label = toPrometheusName(name);
    const kind = description?.kind ?? "gauge";
    lines.push(`# HELP ${label} ${description?.text ?? name}`);
    lines.push(`# TYPE ${label} ${PROMETHEUS_TYPES[kind]}`);
    lines.push(...renderSamples(metrics, { name, label, kind, value }));
  }
  return lines.join("\n") + "\n";
}

function renderSamples(
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

function toPrometheusName(name: string): string {
  return PREFIX + name.replace(/[^a-zA-Z0-9]/g, "_");
}

/** Gets the catalogue name shared by the retry counters of one reason. */
function toCatalogueName(name: string): string {
  return name.replace(/\.[^.]*$/, ".*");
}
