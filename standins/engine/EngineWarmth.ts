/** Warm-up of an engine: a cold engine is slow and has little capacity until it has finished some requests. */
import type {EngineProfile} from './EngineProfile.js';

/** Tracks how many requests a cold engine must still finish to become warm. */
export class EngineWarmth {
  private readonly profile: EngineProfile;
  private requestsUntilWarm: number;

  constructor(profile: EngineProfile, isColdAtStart: boolean) {
    this.profile = profile;
    this.requestsUntilWarm = isColdAtStart ? profile.warmAfterRequests : 0;
  }

  /** Returns whether the engine still has requests to finish before it is warm. */
  isCold(): boolean {
    return this.requestsUntilWarm > 0;
  }

  /** Makes the engine cold, as after a start or after loading a version. */
  turnCold(): void {
    this.requestsUntilWarm = this.profile.warmAfterRequests;
  }

  /** Records a finished request. */
  recordFinishedRequest(): void {
    if (this.requestsUntilWarm > 0) this.requestsUntilWarm -= 1;
  }

  /** Returns whether the engine is cold and has more open requests than a cold engine sustains. */
  exceedsColdLimit(openRequests: number): boolean {
    return this.isCold() && openRequests > this.profile.coldMaxRequests;
  }

  /** Returns the factor by which steps take longer than on a warm engine; 1 once warm. */
  getSlowdownFactor(): number {
    return this.isCold() ? this.profile.coldSlowdownFactor : 1;
  }
}
