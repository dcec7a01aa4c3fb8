/** Certificates that are read again when their files change. */
import { readFileSync, statSync } from "node:fs";
import { createSecureContext } from "node:tls";
import type { Logger } from "../logging/mod.ts";
import type { TlsSettings } from "../settings/mod.ts";

/** Content of the files of a listener. */
export interface Certificates {
  /** Certificate chain. */
  readonly cert: Buffer;
  /** Private key. */
  readonly key: Buffer;
  /** Authority that signs the certificates of the other side. */
  readonly ca?: Buffer;
}

/** Options of {@link CertificateWatcher}. */
export interface CertificateWatcherOptions {
  /** Files. */
  readonly files: TlsSettings;
  /** Logs. */
  readonly logger: Logger;
  /** Hears of new content that can be used. */
  readonly onChange: (certificates: Certificates) => void;
  /** Time between two looks at the files, in milliseconds. */
  readonly intervalMs?: number;
}

const DEFAULT_INTERVAL_MS = 2_000;

/** Reads the files of a listener, or throws where they cannot be used. */
export function readCertificatesOrThrow(files: TlsSettings): Certificates {
  const certificates = {
    cert: readFileSync(files.certFile),
    key: readFileSync(files.keyFile),
    ca: files.caFile === undefined ? undefined : readFileSync(files.caFile),
  };
  createSecureContext(certificates);
  return certificates;
}

/** Looks at certificate files; faulty new ones leave the former in use. */
export class CertificateWatcher {
  readonly #options: CertificateWatcherOptions;
  readonly #timer: NodeJS.Timeout;
  #seen: string;

  /** Creates a watcher of files that have just been read. */
  constructor(options: CertificateWatcherOptions) {
    this.#options = options;
    this.#seen = markOf(options.files);
    const intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.#timer = setInterval(() => this.#look(), intervalMs);
  }

  /** Stops looking. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const { files, logger, onChange } = this.#options;
    const mark = markOf(files);
    if (mark === this.#seen) return;
    this.#seen = mark;
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

function markOf(files: TlsSettings): string {
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
