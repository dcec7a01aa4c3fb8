/** Writes the pages and schemas that are made from the code. */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import * as z from "zod";
import { configurationSchema } from "../src/core/configuration/mod.ts";
import { EVENT_CATALOGUE } from "../src/logging/mod.ts";
import { metricCatalogue } from "../src/metrics/mod.ts";
import { fleetSettingsSchema, settingsSchema } from "../src/settings/mod.ts";

/** A file made from the code. */
export interface GeneratedFile {
  /** Path from the root of the repository. */
  readonly path: string;
  /** Content. */
  readonly content: string;
}

/** Gets every file made from the code. */
export function generatedFiles(): GeneratedFile[] {
  return [
    { path: "docs/EVENTS.md", content: eventsPage() },
    { path: "docs/METRICS.md", content: metricsPage() },
    { path: "schemas/settings.json", content: schemaOf(settingsSchema) },
    {
      path: "schemas/fleet_settings.json",
      content: schemaOf(fleetSettingsSchema),
    },
    {
      path: "schemas/configuration.json",
      content: schemaOf(configurationSchema),
    },
  ];
}

function schemaOf(schema: z.ZodType): string {
  const json = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
  return JSON.stringify(json, null, 2) + "\n";
}

function eventsPage(): string {
  const rows = Object.entries(EVENT_CATALOGUE).map(([name, event]) =>
    `| ${event.number} | \`${name}\` | ${event.level} | ${event.text} | ` +
    `${event.action} |`
  );
  return [
    "# Log events",
    "",
    "Each line of the log is a JSON object; `event` holds the number. Numbers",
    "are never used again. This page is written by `npm run catalogues`.",
    "",
    "| number | name | level | text | what an operator may do |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function metricsPage(): string {
  const rows = [...metricCatalogue()].map(([name, metric]) =>
    `| \`nutmegreel.${name}\` | ${metric.kind} | ${metric.text} |`
  );
  return [
    "# Metrics",
    "",
    "Metrics go to the StatsD receiver named by `metrics` in the settings,",
    "tagged with `instance` and `dataCentre`; `nutmegreel status` shows them",
    "too. This page is written by `npm run catalogues`.",
    "",
    "| name | kind | what it counts |",
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

/** Gets the files whose committed content differs from the code. */
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
