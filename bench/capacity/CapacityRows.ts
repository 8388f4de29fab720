/** The worked-out rows: which slope, at which size, how often a second, for which role. */
import {TARGET, type Resource} from './Target.js';

/** Whether a row speaks of the mechanism of today or of what takes its place. */
export type Phase = 'today' | 'replacement';

/** One worked-out row. */
export interface WorkedRow {
  readonly role: string;
  readonly mechanism: string;
  readonly phase: Phase;
  readonly resource: Resource;
  readonly slopeId: string;
  readonly itemCount: number;
  /** Times a second; 1 for memory. */
  readonly timesPerSecond: number;
}

/** Default time between two probes of a daemon is 300 ms. */
const PROBES_PER_SECOND = 1_000 / 300;
/** As sender and as receiver. */
const PROBE_ROUND_TRIPS_PER_SECOND = PROBES_PER_SECOND * 2;
const RUMOURS_PER_PROBE = 2;
const REPORTS_PER_SECOND = 2;
/** Lease renewals and steps of moves. */
const FLEET_RECORDS_PER_SECOND = 3;
/** One from the parent, eight to children. */
const RELAY_COPIES = 9;
const SERVER_SUBSET = 32;
const SUBSET_REPORTS_PER_SECOND = 1;
const NEAR_MEMBERS = TARGET.entriesPerDomain + TARGET.failureDomains;
const ADDRESSES_PER_ANSWER = 8;
const CHANGED_VALUES = 4;
const {configurationChangesPerSecond, requestsPerSecondPerEntry, memberChangesPerSecond} = TARGET;

function toRows(
  role: string,
  mechanism: string,
  phase: Phase,
  parts: ReadonlyArray<readonly [Resource, string, number, number]>,
): readonly WorkedRow[] {
  return parts.map(([resource, slopeId, itemCount, timesPerSecond]) => ({
    role,
    mechanism,
    phase,
    resource,
    slopeId,
    itemCount,
    timesPerSecond,
  }));
}

const TODAY: readonly WorkedRow[] = [
  ...toRows('tailer and relay', 'whole configuration in each record', 'today', [
    ['network', 'config-record-bytes', TARGET.workspaces, configurationChangesPerSecond],
    ['cpu', 'config-apply-cpu', TARGET.workspaces, configurationChangesPerSecond],
    ['memory', 'config-heap', TARGET.workspaces, 1],
  ]),
  ...toRows('tailer and relay', 'every daemon reads all claims', 'today', [
    ['network', 'claim-record-bytes', 1, TARGET.claimsPerSecond],
    ['cpu', 'claim-apply-cpu', 1, TARGET.claimsPerSecond],
    ['memory', 'claim-heap', TARGET.claimsKept, 1],
  ]),
  ...toRows('fleet holder and candidate', 'fleet stream folded by each', 'today', [
    ['cpu', 'fleet-apply-cpu', TARGET.services, FLEET_RECORDS_PER_SECOND],
    ['memory', 'fleet-heap', TARGET.services, 1],
    ['memory', 'writers-heap', TARGET.writersPerYear, 1],
  ]),
  ...toRows('peer probe', 'one membership of all entries', 'today', [
    ['cpu', 'probe-cpu', TARGET.entries, PROBES_PER_SECOND],
    ['cpu', 'rumour-cpu', TARGET.entries, memberChangesPerSecond],
    ['cpu', 'probe-call-cpu', RUMOURS_PER_PROBE, PROBES_PER_SECOND],
    ['network', 'probe-wire-bytes', RUMOURS_PER_PROBE, PROBE_ROUND_TRIPS_PER_SECOND],
    ['memory', 'member-heap', TARGET.entries, 1],
  ]),
  ...toRows('entry', 'every entry reads the whole list each second', 'today', [
    ['network', 'list-bytes', TARGET.instances, 1],
    ['cpu', 'list-cpu', TARGET.instances, 1],
    ['memory', 'server-heap', TARGET.backendServers, 1],
  ]),
  ...toRows('entry', 'every entry asks every backend server for its load', 'today', [
    ['network', 'report-bytes', TARGET.backendServers, REPORTS_PER_SECOND],
  ]),
  ...toRows('entry', 'routing looks at every backend server', 'today', [
    ['cpu', 'routing-cpu', TARGET.backendServers, requestsPerSecondPerEntry],
  ]),
  ...toRows('look-up', 'all entries ranked and sent', 'today', [
    ['cpu', 'look-up-cpu', TARGET.entries, TARGET.lookUpsPerSecondPerEntry],
    ['network', 'look-up-bytes', TARGET.entries, TARGET.lookUpsPerSecondPerEntry],
  ]),
  ...toRows(
    "operators' client",
    "whole status of every entry, once a change (an entry's part)",
    'today',
    [['network', 'status-bytes', TARGET.entries, configurationChangesPerSecond]],
  ),
];

const REPLACEMENT: readonly WorkedRow[] = [
  ...toRows('tailer and relay', 'change records over a relay tree of 8 children', 'replacement', [
    [
      'network',
      'change-record-bytes',
      CHANGED_VALUES,
      configurationChangesPerSecond * RELAY_COPIES,
    ],
    ['memory', 'config-heap', TARGET.workspaces, 1],
  ]),
  ...toRows(
    'claim owner',
    "a stream for each part of the keys, the owner's part only",
    'replacement',
    [
      ['network', 'claim-record-bytes', 1, TARGET.claimsPerSecondPerEntry * 2],
      ['cpu', 'claim-apply-cpu', 1, TARGET.claimsPerSecondPerEntry],
      ['memory', 'claim-heap', TARGET.claimsKeptPerEntryOneDay, 1],
    ],
  ),
  ...toRows('fleet holder and candidate', 'fleet stream over the relay tree', 'replacement', [
    ['cpu', 'fleet-apply-cpu', TARGET.services, FLEET_RECORDS_PER_SECOND],
    ['memory', 'fleet-heap', TARGET.services, 1],
    ['memory', 'writers-heap', TARGET.writersPerDay, 1],
  ]),
  ...toRows(
    'peer probe',
    'membership within the failure domain, a gateway to each other',
    'replacement',
    [
      ['cpu', 'probe-cpu', NEAR_MEMBERS, PROBES_PER_SECOND],
      ['cpu', 'rumour-cpu', NEAR_MEMBERS, memberChangesPerSecond],
      ['cpu', 'probe-call-cpu', RUMOURS_PER_PROBE, PROBES_PER_SECOND],
      ['network', 'probe-wire-bytes', RUMOURS_PER_PROBE, PROBE_ROUND_TRIPS_PER_SECOND],
      ['memory', 'member-heap', NEAR_MEMBERS, 1],
    ],
  ),
  ...toRows('entry', 'changes of the list over the relay tree', 'replacement', [
    ['network', 'list-bytes', 1, memberChangesPerSecond * RELAY_COPIES],
  ]),
  ...toRows('entry', 'relayed reports of the 32 backend servers used last', 'replacement', [
    ['network', 'report-bytes', SERVER_SUBSET, SUBSET_REPORTS_PER_SECOND],
    ['memory', 'server-heap', SERVER_SUBSET, 1],
    ['cpu', 'routing-cpu', SERVER_SUBSET, requestsPerSecondPerEntry],
  ]),
  ...toRows('look-up', 'the best 8 of the near members', 'replacement', [
    ['cpu', 'look-up-cpu', NEAR_MEMBERS, TARGET.lookUpsPerSecondPerEntry],
    ['network', 'look-up-bytes', ADDRESSES_PER_ANSWER, TARGET.lookUpsPerSecondPerEntry],
  ]),
];

/** All rows. */
export const WORKED_ROWS: readonly WorkedRow[] = [...TODAY, ...REPLACEMENT];
