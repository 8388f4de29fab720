/**
 * Decides whether an entry may accept new requests under the configuration revision that it has, which may be outdated
 * while the entry can't read the log.
 */

/** Result of a membership probe of a peer. */
export interface PeerProbeResult {
  readonly instanceId: string;
  /** Time at which the probe was sent, by this entry's clock. */
  readonly askedAtMs: number;
  /** Whether the peer responded. */
  readonly isAnswered: boolean;
  /** Revision in force at the peer; 0 if it didn't respond. */
  readonly configurationRevision: number;
  /** Time at which the peer's revision was last confirmed by a read of the log; 0 if it didn't respond. */
  readonly logReadAtMs: number;
}

/** Input of `decideConfigurationCurrency`. */
export interface ConfigurationCurrencyView {
  /** Configuration revision in force at this entry; 0 if it has none yet. */
  readonly revision: number;
  /** Time at which a read of the log, here or at a peer, last confirmed that the revision is the newest. */
  readonly confirmedAtMs: number;
  /** Time for which an unconfirmed revision is still considered current. */
  readonly staleConfigurationGraceMs: number;
  /** Whether other entries are known, including dead ones. */
  readonly hasPeers: boolean;
  /** The latest probe of each peer. */
  readonly probeResults: readonly PeerProbeResult[];
}

/**
 * State of an entry's configuration:
 *
 * - `current`: confirmed within the grace time.
 * - `outage-everywhere`: not confirmed, but the log seems to be unavailable to all entries or there are no peers.
 * - `no-configuration`: none has been read yet.
 * - `behind-peers`: not confirmed, and a peer has a newer revision.
 * - `cut-off`: not confirmed, and too few peers respond to tell an outage of the log from a partition of this entry.
 */
export type ConfigurationCurrency =
  'current' | 'outage-everywhere' | 'no-configuration' | 'behind-peers' | 'cut-off';

/** Result of `decideConfigurationCurrency`. */
export interface ConfigurationCurrencyDecision {
  readonly mayAcceptWork: boolean;
  /** Reason for `mayAcceptWork`. */
  readonly currency: ConfigurationCurrency;
}

/** Age up to which the result of a probe is considered. */
export const PROBE_RESULT_WINDOW_MS = 10_000;

/**
 * Returns whether the entry may accept new requests.
 *
 * If at least half of the recently probed peers respond, and none of them has read the log within the grace time, the
 * log is unavailable to all entries. No newer configuration can be accepted then, so the entry continues with its own.
 * If fewer peers respond, the entry may be partitioned from peers that have a newer configuration, so it accepts no new
 * requests.
 * @param view - State of this entry and the latest probes of its peers.
 * @param nowMs - Current time in milliseconds, by the clock of the view.
 */
export function decideConfigurationCurrency(
  view: ConfigurationCurrencyView,
  nowMs: number,
): ConfigurationCurrencyDecision {
  if (view.revision === 0) return {mayAcceptWork: false, currency: 'no-configuration'};
  const recent = view.probeResults.filter(
    ({askedAtMs}) => nowMs - askedAtMs <= PROBE_RESULT_WINDOW_MS,
  );
  const responses = recent.filter(({isAnswered}) => isAnswered);
  const isBehind = responses.some(result => result.configurationRevision > view.revision);
  const ageMs = nowMs - view.confirmedAtMs;
  const isRecent = ageMs <= view.staleConfigurationGraceMs;
  if (isBehind && !isRecent) return {mayAcceptWork: false, currency: 'behind-peers'};
  if (isRecent) return {mayAcceptWork: true, currency: 'current'};
  const doMostRespond = recent.length > 0 && responses.length * 2 >= recent.length;
  if (view.hasPeers && !doMostRespond) return {mayAcceptWork: false, currency: 'cut-off'};
  return {mayAcceptWork: true, currency: 'outage-everywhere'};
}
