/** Decides from the evidence of crashes which prompt parts and requests crash backend servers. */
import type {CrashFindings, CrashReport, Suspect} from './CrashEvidence.js';

/** Time for which no request with a suspect runs. */
export interface QuarantinePeriod {
  /** Unix time in milliseconds at which the evidence was complete. */
  readonly sinceMs: number;
  /** Unix time in milliseconds after which a single request may show whether the suspect still crashes servers. */
  readonly untilMs: number;
  /** Suspects of the same crashes, of which one may be the cause alone. */
  readonly rivals: readonly Suspect[];
}

/** Whether a request may be sent to a backend server. */
export type QuarantineCheck =
  {readonly kind: 'run'} | {readonly kind: 'refused'; readonly retryAfterMs: number};

/** Crashes after which a suspect is quarantined that has never got a response. */
const CRASHES_WITHOUT_SURVIVAL = 3;
/** Crashes since its last response after which a suspect is quarantined that has got one before. */
const CRASHES_SINCE_SURVIVAL = 5;
/** Length of a suspect's first quarantine. */
const FIRST_PERIOD_MS = 30_000;
/** Factor by which a quarantine is longer if the request after the previous one crashed its server too. */
const PERIOD_GROWTH = 4;
const MAX_PERIOD_MS = 600_000;
/** Crashes of servers of one failure domain within this time of each other may be an outage of the domain. */
const OUTAGE_WINDOW_MS = 1_000;
/** Other crashed servers of the failure domain, without the suspect, that make an outage of the domain. */
const OUTAGE_SERVERS = 2;

/** A suspect with the crashes that nothing else explains. */
interface Charge {
  readonly suspect: Suspect;
  readonly crashes: readonly CrashReport[];
  readonly hasSurvived: boolean;
}

/**
 * Returns the suspects to quarantine.
 *
 * A crash counts against all its suspects until they get a response later, or until one of them is quarantined, which
 * explains the crash. So a part that occurs in many sound requests, and one that only was in their company, are
 * released. Suspects that have never got a response are judged first, then those with the most crashes.
 */
export function decideQuarantines({
  crashes,
  survivals,
}: CrashFindings): ReadonlyMap<Suspect, QuarantinePeriod> {
  const survivedAtMs = new Map(
    survivals.map(survival => [survival.suspect, survival.survivedAtMs]),
  );
  const quarantines = new Map<Suspect, QuarantinePeriod>();
  let unexplained = crashes;
  for (;;) {
    const charges = getWorstCharges(unexplained, survivedAtMs);
    if (charges.length === 0) return quarantines;
    for (const charge of charges) {
      const rivals = charges.filter(other => other !== charge && hasSameCrashes(other, charge));
      const period = getPeriod(charge.crashes, getThreshold(charge.hasSurvived));
      quarantines.set(charge.suspect, {...period, rivals: rivals.map(({suspect}) => suspect)});
    }
    unexplained = unexplained.filter(
      ({suspects}) => !suspects.some(suspect => quarantines.has(suspect)),
    );
  }
}

/** Returns the charges that are judged next; several if nothing tells them apart. */
function getWorstCharges(
  crashes: readonly CrashReport[],
  survivedAtMs: ReadonlyMap<Suspect, number>,
): readonly Charge[] {
  const proven = getCharges(crashes, survivedAtMs).filter(
    ({crashes, hasSurvived}) => crashes.length >= getThreshold(hasSurvived),
  );
  const neverSurvived = proven.filter(({hasSurvived}) => !hasSurvived);
  const judged = neverSurvived.length > 0 ? neverSurvived : proven;
  const most = Math.max(...judged.map(({crashes}) => crashes.length));
  return judged.filter(({crashes}) => crashes.length === most);
}

function getCharges(
  crashes: readonly CrashReport[],
  survivedAtMs: ReadonlyMap<Suspect, number>,
): readonly Charge[] {
  const suspects = new Set(crashes.flatMap(crash => crash.suspects));
  return [...suspects].map(suspect => {
    const lastSurvivalMs = survivedAtMs.get(suspect) ?? -Infinity;
    const counted = crashes.filter(
      crash =>
        crash.suspects.includes(suspect) &&
        crash.crashedAtMs > lastSurvivalMs &&
        !isDomainOutage(crash, suspect, crashes),
    );
    return {suspect, crashes: counted, hasSurvived: survivedAtMs.has(suspect)};
  });
}

function isDomainOutage(
  {failureDomain, crashedAtMs, serverKey}: CrashReport,
  suspect: Suspect,
  crashes: readonly CrashReport[],
): boolean {
  const others = crashes.filter(
    other =>
      other.serverKey !== serverKey &&
      other.failureDomain === failureDomain &&
      Math.abs(other.crashedAtMs - crashedAtMs) <= OUTAGE_WINDOW_MS &&
      !other.suspects.includes(suspect),
  );
  return others.length >= OUTAGE_SERVERS;
}

function hasSameCrashes(a: Charge, b: Charge): boolean {
  return (
    a.crashes.length === b.crashes.length && a.crashes.every(crash => b.crashes.includes(crash))
  );
}

function getThreshold(hasSurvived: boolean): number {
  return hasSurvived ? CRASHES_SINCE_SURVIVAL : CRASHES_WITHOUT_SURVIVAL;
}

/** A crash after the end of a quarantine begins the next one, which is longer. */
function getPeriod(
  crashes: readonly CrashReport[],
  threshold: number,
): Omit<QuarantinePeriod, 'rivals'> {
  const timesMs = crashes.map(({crashedAtMs}) => crashedAtMs).sort((a, b) => a - b);
  let sinceMs = timesMs[threshold - 1];
  let lengthMs = FIRST_PERIOD_MS;
  for (const atMs of timesMs.slice(threshold)) {
    if (atMs <= sinceMs + lengthMs) continue;
    sinceMs = atMs;
    lengthMs = Math.min(MAX_PERIOD_MS, lengthMs * PERIOD_GROWTH);
  }
  return {sinceMs, untilMs: sinceMs + lengthMs};
}
