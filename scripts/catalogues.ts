/** Generates the reference pages and JSON schemas from the code. */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import * as z from "zod";
import { configurationSchema } from "../src/core/configuration/mod.ts";
import { EVENT_CATALOGUE } from "../src/logging/mod.ts";
import { createMetricCatalogue } from "../src/metrics/mod.ts";
import { fleetSettingsSchema, settingsSchema } from "../src/settings/mod.ts";

/** A file that is generated from the code. */
export interface GeneratedFile {
  /** Path relative to the root of the repository. */
  readonly path: string;
  readonly content: string;
}

/** Generates every file, without writing it. */
export function generatedFiles(): GeneratedFile[] {
  return [
    { path: "docs/EVENTS.md", content: renderEventsPage() },
    { path: "docs/METRICS.md", content: renderMetricsPage() },
    { path: "schemas/settings.json", content: renderSchema(settingsSchema) },
    {
      path: "schemas/fleet_settings.json",
      content: renderSchema(fleetSettingsSchema),
    },
    {
      path: "schemas/configuration.json",
      content: renderSchema(configurationSchema),
    },
  ];
}

function renderSchema(schema: z.ZodType): string {
  const json = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
  return JSON.stringify(json, null, 2) + "\n";
}

function renderEventsPage(): string {
  const rows = Object.entries(EVENT_CATALOGUE).map(([name, event]) =>
    `| ${event.number} | \`${name}\` | ${event.level} | ${event.text} | ` +
    `${event.action} |`
  );
  return [
    "# Log events",
    "",
    "Each line of the log is a JSON object; `event` holds the number. Numbers of",
    "removed events are not reused. `npm run catalogues` writes this page.",
    "",
    "| number | name | level | text | recommended action |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function renderMetricsPage(): string {
  const rows = [...createMetricCatalogue()].map(([name, metric]) =>
    `| \`nutmegreel.${name}\` | ${metric.kind} | ${metric.text} |`
  );
  return [
    "# Metrics",
    "",
    "Metrics are sent to the StatsD server at the `metrics` address of the",
    "settings, with the tags `instance` and `dataCentre`. `nutmegreel status`",
    "prints them too. `npm run catalogues` writes this page.",
    "",
    "| name | kind | description |",
    "| --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

if (process.argv[2] === "--write") {
  mkdirSync("docs", { recursive: true });
  mkdirSync("schemas", { recursive: true });
  for (const { path, content } of generatedFiles()) {
    writeFileSync(path, content);
  }
}

/** Gets the paths of files that are missing or differ from the code. */
export function outdatedFiles(): string[] {
  return generatedFiles()
    .filter(({ path, content }) => {
      try {
        return readFileSync(path, "utf8") !== content;
      } catch {
        return true;
      }
    })
    .map(({ path }) => path);
}
