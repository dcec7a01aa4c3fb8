/** Templates of settings, rendered as the platform does. */

/** Settings that the platform hands to a machine. */
export type PlainSettings = Readonly<Record<string, unknown>>;

/** Values that a tag can name. */
interface Scope {
  readonly root: PlainSettings;
  /** Value of the innermost section. */
  readonly value: unknown;
  /** Key of the value among those of its list or table. */
  readonly key: string;
  readonly isLast: boolean;
}

const SECTION_OR_TAG =
  /\{\{([#^])([\w.]+)\}\}([^]*?)\{\{\/\2\}\}|\{\{([^#^/}]+)\}\}/g;

/**
 * Renders a template; a missing value renders nothing.
 *
 * @example
 * ```ts
 * renderTemplate('{{#a}}"a": {{.|json}}{{/a}}', { a: 1 }); // '"a": 1'
 * ```
 */
export function renderTemplate(text: string, root: PlainSettings): string {
  return render(text, { root, value: root, key: "", isLast: true });
}

function render(text: string, scope: Scope): string {
  return text.replaceAll(
    SECTION_OR_TAG,
    (_, kind, name, body, tag) =>
      kind === undefined
        ? renderTag(tag.trim(), scope)
        : renderSection({ isInverted: kind === "^", name, body }, scope),
  );
}

function renderTag(tag: string, scope: Scope): string {
  if (tag === ",") return scope.isLast ? "" : ",";
  if (tag === "@") return scope.key;
  const [name, filter] = tag.split("|");
  const value = lookUp(name, scope);
  if (value === undefined) return "";
  return filter === "json" ? JSON.stringify(value) : String(value);
}

function renderSection(
  section: { isInverted: boolean; name: string; body: string },
  scope: Scope,
): string {
  const value = lookUp(section.name, scope);
  if (section.isInverted) {
    return isEmpty(value) ? render(section.body, scope) : "";
  }
  if (isEmpty(value)) return "";
  const entries = typeof value === "object"
    ? Object.entries(value as object)
    : [["", value] as const];
  return entries.map(([key, one], i) => {
    const isLast = i === entries.length - 1;
    return render(section.body, { ...scope, value: one, key, isLast });
  }).join("");
}

function isEmpty(value: unknown): boolean {
  if (typeof value === "object" && value !== null) {
    return Object.keys(value).length === 0;
  }
  return value === undefined || value === null || value === false ||
    value === "";
}

/** Looks a dotted name up in the section, then in all settings. */
function lookUp(name: string, { value, root }: Scope): unknown {
  if (name === ".") return value;
  return follow(value, name) ?? follow(root, name);
}

function follow(from: unknown, name: string): unknown {
  return name.split(".").reduce<unknown>(
    (value, part) => (value as Record<string, unknown> | undefined)?.[part],
    from,
  );
}
