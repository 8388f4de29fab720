/** Decides whether an entry may accept new work with the configuration that it knows. */

/** What a probe showed of a peer. */
export interface PeerReading {
  readonly instanceId: string;
  readonly askedAtMs: number;
  readonly isAnswered: boolean;
  readonly configurationRevision: number;
  /** Instant at which the peer's revision was last shown to be the newest. */
  readonly logReadAtMs: number;
}

/** What the decision is drawn from. */
export interface ConfigurationCurrencyView {
  /** Revision in force here; 0 for none. */
  readonly revision: number;
  /** Instant of the last read that showed the revision to be the newest, here or at a peer. */
  readonly confirmedAtMs: number;
  /** Longest time that the entry goes on without such a read. */
  readonly staleConfigurationGraceMs: number;
  /** Whether other entries are known, dead ones included. */
  readonly hasPeers: boolean;
  /** The newest probe of each peer. */
  readonly readings: readonly PeerReading[];
}

/** Why an entry may accept new work or not. */
export type ConfigurationCurrency =
  'current' | 'outage-everywhere' | 'no-configuration' | 'behind-peers' | 'cut-off';

/** Verdict on the configuration in force here. */
export interface ConfigurationCurrencyVerdict {
  readonly mayAcceptWork: boolean;
  readonly currency: ConfigurationCurrency;
}

/** Age up to which a probe counts. */
export const PEER_READING_WINDOW_MS = 10_000;

/**
 * Returns whether the entry may accept new work. Where at least half of the peers that were probed lately answer and none
 * of them has read the log within the grace time, the log is out for everyone and nothing new can be accepted there, so
 * the entry goes on; where fewer answer, it may be cut off alone.
 * @param view - What the entry knows.
 * @param nowMs - Present time.
 */
export function decideConfigurationCurrency(
  view: ConfigurationCurrencyView,
  nowMs: number,
): ConfigurationCurrencyVerdict {
  if (view.revision === 0) return {mayAcceptWork: false, currency: 'no-configuration'};
  const recent = view.readings.filter(({askedAtMs}) => nowMs - askedAtMs <= PEER_READING_WINDOW_MS);
  const answered = recent.filter(({isAnswered}) => isAnswered);
  const isBehind = answered.some(reading => reading.configurationRevision > view.revision);
  const ageMs = nowMs - view.confirmedAtMs;
  const isRecent = ageMs <= view.staleConfigurationGraceMs;
  if (isBehind && !isRecent) return {mayAcceptWork: false, currency: 'behind-peers'};
  if (isRecent) return {mayAcceptWork: true, currency: 'current'};
  const isMostAnswered = recent.length > 0 && answered.length * 2 >= recent.length;
  if (view.hasPeers && !isMostAnswered) return {mayAcceptWork: false, currency: 'cut-off'};
  return {mayAcceptWork: true, currency: 'outage-everywhere'};
}
