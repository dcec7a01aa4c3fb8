/** Command that checks the policy of a deployment before it is sent. */
import { type CommandDef, defineCommand } from "citty";
import {
  comparePolicies,
  FindingSeverity,
  type PolicyDifference,
  type PolicyDocument,
} from "../core/policy/mod.ts";
import { CommandError } from "./command_error.ts";
import { ExitCode } from "./exit_code.ts";
import { print } from "./output.ts";
import {
  type PlacedFinding,
  type PolicyCheck,
  PolicyChecker,
} from "./policy_checker.ts";
import {
  formatDifference,
  formatFinding,
  nameFields,
} from "./policy_report.ts";
import type { PolicyFormat } from "./policy_format.ts";
import {
  isAddress,
  readFileOrThrow,
  readRemoteOrThrow,
  UnreadableSourceError,
} from "./policy_source.ts";

const ARGS = {
  file: {
    type: "positional",
    required: true,
    description: "Configuration of the deployment",
    valueHint: "FILE",
  },
  against: {
    type: "string",
    description: "Configuration in force: a file, or the address of a " +
      "control instance",
    valueHint: "FILE|URL",
  },
  regions: {
    type: "string",
    description: "Region of each data centre, to check homes",
    valueHint: "nl-1=north,nl-2=east",
  },
  strict: {
    type: "boolean",
    default: false,
    description: "Exit with 3 if there are warnings",
  },
  json: {
    type: "boolean",
    default: false,
    description: "Print the result as one JSON object",
  },
} as const;

/**
 * Creates the command for documents of a format.
 *
 * @example
 * ```ts
 * const check = createCheck(POLICY_FORMAT);
 * ```
 */
export function createCheck(format: PolicyFormat): CommandDef<typeof ARGS> {
  return defineCommand({
    meta: {
      name: "check",
      description: "Check the configuration of a fleet before it is sent, " +
        "and compare it with the one in force. Example: nutmegreel check " +
        "fleet.json --against http://127.0.0.1:7200 --regions nl-1=north",
    },
    args: ARGS,
    async run({ args }) {
      throwIfSurplus(args._);
      const regions = parseRegionsOrThrow(args.regions);
      const checker = new PolicyChecker({ format, regions });
      const { document, findings } = checkFile(checker, args.file, format);
      const inForce = args.against === undefined
        ? undefined
        : await readInForceOrThrow(checker, args.against, format);
      const difference = document && inForce &&
        nameFields(comparePolicies(inForce, document), format);
      printCheck(findings, difference, args.json);
      throwForFindings(findings, args.strict);
    },
  });
}

function throwIfSurplus(positional: readonly string[]): void {
  if (positional.length === 1) return;
  throw new CommandError(ExitCode.Usage, "Expected exactly one FILE");
}

/**
 * Parses the regions of data centres.
 * @throws CommandError if the text is no list of NAME=REGION.
 */
function parseRegionsOrThrow(
  text: string | undefined,
): Readonly<Record<string, string>> | undefined {
  if (text === undefined) return undefined;
  const pairs = text.split(",").map((pair) => pair.split("="));
  const isValid = pairs.every((pair) =>
    pair.length === 2 && pair.every((name) => name.trim().length > 0)
  );
  if (isValid) {
    return Object.fromEntries(pairs.map((p) => p.map((name) => name.trim())));
  }
  throw new CommandError(
    ExitCode.Usage,
    "Expected --regions as DATA_CENTRE=REGION,...",
  );
}

function checkFile(
  checker: PolicyChecker,
  file: string,
  { maxBytes }: PolicyFormat,
): PolicyCheck {
  try {
    return checker.check(readFileOrThrow(file, maxBytes));
  } catch (err) {
    if (!(err instanceof UnreadableSourceError)) throw err;
    const { message } = err;
    const severity = FindingSeverity.Error;
    return { findings: [{ severity, code: err.code, path: "", message }] };
  }
}

/** A document in force that cannot be read is no fault of the checked one. */
async function readInForceOrThrow(
  checker: PolicyChecker,
  against: string,
  { readPath: path, maxBytes }: PolicyFormat,
): Promise<PolicyDocument> {
  const source = await readSourceOrThrow(against, { path, maxBytes });
  const { document, findings } = checker.decode(source);
  if (document !== undefined) return document;
  const lines = ["The document in force is invalid:"];
  lines.push(...findings.map(formatFinding));
  throw new CommandError(ExitCode.Usage, lines.join("\n"));
}

async function readSourceOrThrow(
  against: string,
  options: { readonly path: string; readonly maxBytes: number },
): Promise<string> {
  try {
    return isAddress(against)
      ? await readRemoteOrThrow(against, options)
      : readFileOrThrow(against, options.maxBytes);
  } catch (err) {
    if (!(err instanceof UnreadableSourceError)) throw err;
    throw new CommandError(ExitCode.Usage, `--against: ${err.message}`);
  }
}

function printCheck(
  findings: readonly PlacedFinding[],
  difference: PolicyDifference | undefined,
  json: boolean,
): void {
  const counts = {
    errors: countOf(findings, FindingSeverity.Error),
    warnings: countOf(findings, FindingSeverity.Warning),
    notes: countOf(findings, FindingSeverity.Note),
  };
  print({ ...counts, findings, difference }, {
    json,
    lines: () => [
      ...findings.map(formatFinding),
      ...(difference === undefined ? [] : formatDifference(difference)),
      Object.entries(counts).map(([name, n]) => `${name}: ${n}`).join(", "),
    ],
  });
}

function throwForFindings(
  findings: readonly PlacedFinding[],
  isStrict: boolean,
): void {
  if (countOf(findings, FindingSeverity.Error) > 0) {
    throw new CommandError(ExitCode.Failed, "The document would be refused");
  }
  if (isStrict && countOf(findings, FindingSeverity.Warning) > 0) {
    throw new CommandError(ExitCode.Warned, "The document has warnings");
  }
}

function countOf(
  findings: readonly PlacedFinding[],
  severity: FindingSeverity,
): number {
  return findings.filter((finding) => finding.severity === severity).length;
}
