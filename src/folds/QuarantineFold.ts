/** Quarantines: fingerprints of requests that crashed backend servers, refused until the quarantine expires. */
import {z} from 'zod';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, type FleetRecordResult} from './FleetRecordResult.js';

/** Schema of a quarantine within a snapshot. */
export const quarantineSchema = z.strictObject({
  fingerprint: z.string(),
  service: z.string(),
  reporter: z.string(),
  observedAtMs: z.number(),
  expiresAtMs: z.number(),
});

/** A request fingerprint that is refused until `expiresAtMs`. */
export type Quarantine = Readonly<z.infer<typeof quarantineSchema>>;

/** Keeps the longest quarantine of each fingerprint, and drops those that expired before the newest observation. */
export class QuarantineFold {
  private readonly quarantines = new Map<string, Quarantine>();

  /**
   * Returns the quarantines that have not expired.
   * @param nowMs - Current Unix time in milliseconds.
   */
  getQuarantines(nowMs: number): readonly Quarantine[] {
    return this.getAllQuarantines().filter(quarantine => quarantine.expiresAtMs > nowMs);
  }

  /** Returns all quarantines, including expired ones that have not been dropped yet, for a snapshot. */
  getAllQuarantines(): readonly Quarantine[] {
    return [...this.quarantines.values()];
  }

  /** Replaces the quarantines by those of a snapshot. */
  restore(quarantines: readonly Quarantine[]): void {
    this.quarantines.clear();
    for (const quarantine of quarantines) this.quarantines.set(quarantine.fingerprint, quarantine);
  }

  /** Adds a quarantine, unless one of the same fingerprint lasts at least as long. */
  applyQuarantine(body: LogBodyOf<'quarantine'>): FleetRecordResult {
    const {fingerprint, service, reporter, observedAtMs, expiresAtMs} = body;
    this.removeExpired(observedAtMs);
    const current = this.quarantines.get(fingerprint);
    if (current && current.expiresAtMs >= expiresAtMs) return ACCEPTED;
    this.quarantines.set(fingerprint, {fingerprint, service, reporter, observedAtMs, expiresAtMs});
    return ACCEPTED;
  }

  private removeExpired(nowMs: number): void {
    for (const [fingerprint, {expiresAtMs}] of this.quarantines) {
      if (expiresAtMs <= nowMs) this.quarantines.delete(fingerprint);
    }
  }
}
