/** TLS certificates, reloaded when their files change. */
import { readFileSync, statSync } from "node:fs";
import { createSecureContext } from "node:tls";
import type { Logger } from "../logging/mod.ts";
import type { TlsSettings } from "../settings/mod.ts";

/** Contents of the certificate files of a listener. */
export interface Certificates {
  /** Certificate chain. */
  readonly cert: Buffer;
  /** Private key. */
  readonly key: Buffer;
  /** Certificate authority that must have signed the peer's certificate. */
  readonly ca?: Buffer;
}

/** Options of {@link CertificateWatcher}. */
export interface CertificateWatcherOptions {
  readonly files: TlsSettings;
  readonly logger: Logger;
  /** Called with changed certificates, once they have been validated. */
  readonly onChange: (certificates: Certificates) => void;
  /** Interval of the check for changed files, in milliseconds. */
  readonly intervalMs?: number;
}

const DEFAULT_INTERVAL_MS = 2_000;

/**
 * Reads and validates the certificate files of a listener.
 * @throws Error if a file cannot be read or TLS does not accept its contents.
 */
export function readCertificatesOrThrow(files: TlsSettings): Certificates {
  const certificates = {
    cert: readFileSync(files.certFile),
    key: readFileSync(files.keyFile),
    ca: files.caFile === undefined ? undefined : readFileSync(files.caFile),
  };
  createSecureContext(certificates);
  return certificates;
}

/**
 * Polls certificate files for changes. Invalid files are logged, and the
 * previous certificates stay in use.
 */
export class CertificateWatcher {
  readonly #options: CertificateWatcherOptions;
  readonly #timer: NodeJS.Timeout;
  #fileState: string;

  /**
   * Creates and starts a watcher. The current files count as already loaded.
   */
  constructor(options: CertificateWatcherOptions) {
    this.#options = options;
    this.#fileState = getFileState(options.files);
    const intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.#timer = setInterval(() => this.#reloadIfChanged(), intervalMs);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #reloadIfChanged(): void {
    const { files, logger, onChange } = this.#options;
    const fileState = getFileState(files);
    if (fileState === this.#fileState) return;
    this.#fileState = fileState;
    try {
      onChange(readCertificatesOrThrow(files));
      logger.event("certificatesRead", { file: files.certFile });
    } catch (err) {
      logger.event("certificatesFaulty", {
        file: files.certFile,
        detail: String(err),
      });
    }
  }
}

function getFileState(files: TlsSettings): string {
  return [files.certFile, files.keyFile, files.caFile]
    .filter((file) => file !== undefined)
    .map((file) => {
      try {
        const { mtimeMs, size } = statSync(file);
        return `${file} ${mtimeMs} ${size}`;
      } catch {
        return `${file} missing`;
      }
    })
    .join("\n");
}
