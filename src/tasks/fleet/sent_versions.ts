/** Versions that were sent to instances of late. */

/** Interval at which the same state is resent to an instance without it. */
const STATE_RESEND_MS = 500;

interface SentVersion {
  readonly version: number;
  readonly at: number;
}

/** Remembers which version each instance was sent, and when. */
export class SentVersions {
  readonly #sent = new Map<string, SentVersion>();

  /**
   * Records a send, unless the same version was sent a short time ago.
   * @param now - Local monotonic time, in milliseconds.
   * @returns Whether the version is to be sent.
   */
  take(id: string, version: number, now: number): boolean {
    const last = this.#sent.get(id);
    const isRecent = last !== undefined && now - last.at < STATE_RESEND_MS;
    if (isRecent && last.version >= version) return false;
    this.#sent.set(id, { version, at: now });
    return true;
  }
}
