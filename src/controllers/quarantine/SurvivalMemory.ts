/** What this gateway has seen answered, so that it can vouch for it after a crash. */
import type {Suspect} from './CrashEvidence.js';

/** Suspects that are remembered; those that were answered longest ago are forgotten first. */
const MAX_SUSPECTS = 50_000;

/** Remembers when requests with a suspect last got a complete response. */
export class SurvivalMemory {
  private readonly answeredAtMs = new Map<Suspect, number>();

  /**
   * Records a complete response.
   * @param suspects - What its request contains.
   * @param wallMs - Present Unix time in milliseconds.
   */
  addAnswer(suspects: readonly Suspect[], wallMs: number): void {
    for (const suspect of suspects) {
      this.answeredAtMs.delete(suspect);
      this.answeredAtMs.set(suspect, wallMs);
    }
    while (this.answeredAtMs.size > MAX_SUSPECTS) {
      const [oldest] = this.answeredAtMs.keys();
      this.answeredAtMs.delete(oldest);
    }
  }

  /** Returns the Unix time in milliseconds of the last complete response; undefined if none is remembered. */
  getAnsweredAtMs(suspect: Suspect): number | undefined {
    return this.answeredAtMs.get(suspect);
  }
}
