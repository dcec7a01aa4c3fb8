/** Format in which the policy of a deployment is written and sent. */
import type {
  PolicyDocument,
  PolicyFinding,
  PolicyPath,
} from "../core/policy/mod.ts";

/** A format of policy documents; the platform provides it. */
export interface PolicyFormat {
  /** Largest size of a document that is accepted, in bytes. */
  readonly maxBytes: number;
  /** Path at which a control instance returns the document in force. */
  readonly readPath: string;
  /**
   * Decodes a document.
   * @throws SyntaxError if the source is not JSON.
   * @throws ZodError if it does not match the schema.
   */
  decode(source: string): PolicyDocument;
  /** Gets the values of a valid source that decoding leaves out. */
  findIgnored(source: string): PolicyFinding[];
  /** Gets a path as the format names it. */
  formatPath(path: PolicyPath): string;
  /** Gets a field's name as the format names it. */
  formatField(name: string): string;
}
