/** Warmth of an engine: a cold one is slow, bears few requests and becomes warm by running some. */
import type {EngineProfile} from './EngineProfile.js';

/** Counts what a cold engine has run since it became cold. */
export class EngineWarmth {
  private readonly profile: EngineProfile;
  private requestsUntilWarm: number;

  constructor(profile: EngineProfile, isColdAtStart: boolean) {
    this.profile = profile;
    this.requestsUntilWarm = isColdAtStart ? profile.warmAfterRequests : 0;
  }

  /** Returns whether the engine is cold. */
  isCold(): boolean {
    return this.requestsUntilWarm > 0;
  }

  /** Makes the engine cold. */
  turnCold(): void {
    this.requestsUntilWarm = this.profile.warmAfterRequests;
  }

  /** Counts a request that finished. */
  countFinished(): void {
    if (this.requestsUntilWarm > 0) this.requestsUntilWarm -= 1;
  }

  /** Returns whether a number of open requests is more than the engine bears. */
  isOverwhelmedBy(openRequests: number): boolean {
    return this.isCold() && openRequests > this.profile.coldMaxRequests;
  }

  /** Returns how much slower than a warm engine it is. */
  getSlowdownFactor(): number {
    return this.isCold() ? this.profile.coldSlowdownFactor : 1;
  }
}
