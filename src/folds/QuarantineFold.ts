/** Request fingerprints that crashed backend servers and are refused until they expire. */
import {z} from 'zod';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, type FleetVerdict} from './FleetVerdict.js';

/** Schema of a quarantine within a snapshot. */
export const quarantineSchema = z.strictObject({
  fingerprint: z.string(),
  service: z.string(),
  reporter: z.string(),
  observedAtMs: z.number(),
  expiresAtMs: z.number(),
});

/** A fingerprint that is refused. */
export type Quarantine = Readonly<z.infer<typeof quarantineSchema>>;

/** Keeps the longest quarantine of each fingerprint, and drops those that ended before the newest observation. */
export class QuarantineFold {
  private readonly quarantines = new Map<string, Quarantine>();

  /**
   * Returns the quarantines that stand.
   * @param nowMs - Present time.
   */
  getQuarantines(nowMs: number): readonly Quarantine[] {
    return this.getAllQuarantines().filter(quarantine => quarantine.expiresAtMs > nowMs);
  }

  /** Returns all that are kept, for a snapshot. */
  getAllQuarantines(): readonly Quarantine[] {
    return [...this.quarantines.values()];
  }

  /**
   * Takes over the quarantines of a snapshot.
   * @param quarantines - The quarantines.
   */
  restore(quarantines: readonly Quarantine[]): void {
    this.quarantines.clear();
    for (const quarantine of quarantines) this.quarantines.set(quarantine.fingerprint, quarantine);
  }

  /**
   * Applies a quarantine.
   * @param body - The quarantine.
   */
  applyQuarantine(body: LogBodyOf<'quarantine'>): FleetVerdict {
    const {fingerprint, service, reporter, observedAtMs, expiresAtMs} = body;
    this.removeExpired(observedAtMs);
    const known = this.quarantines.get(fingerprint);
    if (known && known.expiresAtMs >= expiresAtMs) return ACCEPTED;
    this.quarantines.set(fingerprint, {fingerprint, service, reporter, observedAtMs, expiresAtMs});
    return ACCEPTED;
  }

  private removeExpired(nowMs: number): void {
    for (const [fingerprint, {expiresAtMs}] of this.quarantines) {
      if (expiresAtMs <= nowMs) this.quarantines.delete(fingerprint);
    }
  }
}
