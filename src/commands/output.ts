/** Output of commands. */

/** Prints a value as one line of JSON, or as human-readable lines. */
export function print(
  value: unknown,
  options: { json: boolean; lines: () => readonly string[] },
): void {
  if (options.json) console.log(JSON.stringify(value));
  else for (const line of options.lines()) console.log(line);
}

/**
 * Formats rows as a table with aligned columns.
 * @param rows - Rows; the members of the first one are the columns.
 */
export function formatTable(
  rows: readonly Readonly<Record<string, unknown>>[],
): string[] {
  if (rows.length === 0) return ["(none)"];
  const names = Object.keys(rows[0]);
  const cells = [
    names,
    ...rows.map((row) => names.map((n) => formatCell(row[n]))),
  ];
  const widths = names.map((_, i) =>
    Math.max(...cells.map((line) => line[i].length))
  );
  return cells.map((line) =>
    line.map((cell, i) => cell.padEnd(widths[i])).join("  ").trimEnd()
  );
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return "-";
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}
