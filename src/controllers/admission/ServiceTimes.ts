/** Times that requests of a service take at its servers, by kind of request. */

/** Means of one kind of request. */
interface KindTimes {
  samples: number;
  firstEventMs: number;
  totalMs: number;
}

/** Weight of a new sample in the means. */
const SAMPLE_WEIGHT = 0.05;
/** Fewer samples than this say nothing about the next request. */
const MIN_SAMPLES = 5;
const MAX_KINDS = 1_000;

/** Moving averages of the times from a request's start to its first event and to its end. */
export class ServiceTimes {
  private readonly byKind = new Map<string, KindTimes>();
  private readonly all: KindTimes = createTimes();

  /** Records a request that was answered. */
  addSample(kind: string, firstEventMs: number, totalMs: number): void {
    let times = this.byKind.get(kind);
    if (!times) {
      if (this.byKind.size >= MAX_KINDS) this.byKind.clear();
      times = createTimes();
      this.byKind.set(kind, times);
    }
    addTo(times, firstEventMs, totalMs);
    addTo(this.all, firstEventMs, totalMs);
  }

  /** Returns the mean time to the first event of a kind; undefined if too few were measured. */
  getFirstEventMs(kind: string): number | undefined {
    const times = this.byKind.get(kind);
    return times && times.samples >= MIN_SAMPLES ? times.firstEventMs : undefined;
  }

  /** Returns the mean time to the end of a kind; undefined if too few were measured. */
  getTotalMs(kind: string): number | undefined {
    const times = this.byKind.get(kind);
    return times && times.samples >= MIN_SAMPLES ? times.totalMs : undefined;
  }

  /** Returns the mean time to the end over all kinds; undefined if too few were measured. */
  getMeanTotalMs(): number | undefined {
    return this.all.samples >= MIN_SAMPLES ? this.all.totalMs : undefined;
  }
}

function createTimes(): KindTimes {
  return {samples: 0, firstEventMs: 0, totalMs: 0};
}

function addTo(times: KindTimes, firstEventMs: number, totalMs: number): void {
  times.samples += 1;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / times.samples);
  times.firstEventMs += weight * (firstEventMs - times.firstEventMs);
  times.totalMs += weight * (totalMs - times.totalMs);
}
