/** Checks policy documents by the rules that apply when they are sent. */
import { ZodError } from "zod";
import { toFaults } from "../core/configuration/mod.ts";
import {
  FindingSeverity,
  locatePolicyFaults,
  type PolicyDocument,
  type PolicyFinding,
  reviewPolicy,
} from "../core/policy/mod.ts";
import { getJsonPosition } from "./json_position.ts";
import type { PolicyFormat } from "./policy_format.ts";

/** A finding whose path is named as in the checked file. */
export interface PlacedFinding extends Omit<PolicyFinding, "path"> {
  readonly path: string;
}

/** Result of a check. */
export interface PolicyCheck {
  /** Undefined if the source cannot be decoded. */
  readonly document?: PolicyDocument;
  readonly findings: readonly PlacedFinding[];
}

/** Options of {@link PolicyChecker}. */
export interface PolicyCheckerOptions {
  readonly format: PolicyFormat;
  /** Region of each data centre; undefined if not known. */
  readonly regions: Readonly<Record<string, string>> | undefined;
}

/**
 * Finds the errors of a document, and the warnings of one without errors.
 *
 * @example
 * ```ts
 * const { findings } = new PolicyChecker({ format, regions }).check(source);
 * ```
 */
export class PolicyChecker {
  readonly #options: PolicyCheckerOptions;

  /** Creates a checker for documents of a format. */
  constructor(options: PolicyCheckerOptions) {
    this.#options = options;
  }

  /** Checks a document. */
  check(source: string): PolicyCheck {
    const { format, regions } = this.#options;
    const { document, findings } = this.decode(source);
    if (document === undefined) return { findings };
    const faults = locatePolicyFaults(document).map(({ path, reason }) =>
      createError("invalid", format.formatPath(path), reason)
    );
    if (faults.length > 0) return { document, findings: faults };
    const reviewed = [
      ...format.findIgnored(source),
      ...reviewPolicy(document, { regions }),
    ];
    return {
      document,
      findings: reviewed.map((finding) => ({
        ...finding,
        path: format.formatPath(finding.path),
      })),
    };
  }

  /** Decodes a document; the findings are the errors of its shape. */
  decode(source: string): PolicyCheck {
    try {
      return { document: this.#options.format.decode(source), findings: [] };
    } catch (err) {
      if (err instanceof ZodError) {
        return {
          findings: toFaults(err).map(({ path, reason }) =>
            createError("shape", path, reason)
          ),
        };
      }
      if (!(err instanceof SyntaxError)) throw err;
      const position = getJsonPosition(source, err);
      const place = position === undefined
        ? ""
        : ` at line ${position.line}, column ${position.column}`;
      return { findings: [createError("json", "", `Expected JSON${place}`)] };
    }
  }
}

function createError(
  code: string,
  path: string,
  message: string,
): PlacedFinding {
  return { severity: FindingSeverity.Error, code, path, message };
}
