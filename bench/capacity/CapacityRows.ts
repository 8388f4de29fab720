/** Rows of the capacity tables: which slope applies to which role, at which size and rate. */
import {TARGET, type Resource} from './Target.js';

/** Whether a row describes the current mechanism or its planned replacement. */
export type DesignPhase = 'today' | 'replacement';

/** One use of a resource by a mechanism; its value is computed from a slope. */
export interface CapacityRow {
  readonly role: string;
  readonly mechanism: string;
  readonly phase: DesignPhase;
  readonly resource: Resource;
  readonly slopeId: string;
  readonly itemCount: number;
  /** Events per second that cost one value of the slope; 1 for memory, which is not a rate. */
  readonly eventsPerSecond: number;
}

/** A daemon sends a probe every 300 ms by default. */
const PROBES_PER_SECOND = 1_000 / 300;
/** Each daemon is the sender of as many probes as it receives. */
const PROBE_ROUND_TRIPS_PER_SECOND = PROBES_PER_SECOND * 2;
const UPDATES_PER_PROBE = 2;
const REPORTS_PER_SECOND = 2;
/** One lease renewal and two move steps or orders per second. */
const FLEET_RECORDS_PER_SECOND = 3;
/** Copies of a relayed record at each node: one received from the parent and eight sent to children. */
const RELAY_COPIES = 9;
const SUBSET_SERVERS = 32;
const SUBSET_REPORTS_PER_SECOND = 1;
/** Entries of the own failure domain plus one gateway per failure domain. */
const PARTITIONED_MEMBERS = TARGET.entriesPerDomain + TARGET.failureDomains;
const ADDRESSES_PER_RESPONSE = 8;
const CHANGED_VALUES = 4;
const {configurationChangesPerSecond, requestsPerSecondPerEntry, memberChangesPerSecond} = TARGET;

function createRows(
  role: string,
  mechanism: string,
  phase: DesignPhase,
  parts: ReadonlyArray<readonly [Resource, string, number, number]>,
): readonly CapacityRow[] {
  return parts.map(([resource, slopeId, itemCount, eventsPerSecond]) => ({
    role,
    mechanism,
    phase,
    resource,
    slopeId,
    itemCount,
    eventsPerSecond,
  }));
}

const CURRENT_ROWS: readonly CapacityRow[] = [
  ...createRows('tailer and relay', 'whole configuration in each record', 'today', [
    ['network', 'config-record-bytes', TARGET.workspaces, configurationChangesPerSecond],
    ['cpu', 'config-apply-cpu', TARGET.workspaces, configurationChangesPerSecond],
    ['memory', 'config-heap', TARGET.workspaces, 1],
  ]),
  ...createRows('tailer and relay', 'every daemon reads all claims', 'today', [
    ['network', 'claim-record-bytes', 1, TARGET.claimsPerSecond],
    ['cpu', 'claim-apply-cpu', 1, TARGET.claimsPerSecond],
    ['memory', 'claim-heap', TARGET.claimsKept, 1],
  ]),
  ...createRows('fleet holder and candidate', 'fleet stream folded by each', 'today', [
    ['cpu', 'fleet-apply-cpu', TARGET.services, FLEET_RECORDS_PER_SECOND],
    ['memory', 'fleet-heap', TARGET.services, 1],
    ['memory', 'writers-heap', TARGET.writersPerYear, 1],
  ]),
  ...createRows('peer probe', 'one membership of all entries', 'today', [
    ['cpu', 'probe-cpu', TARGET.entries, PROBES_PER_SECOND],
    ['cpu', 'rumour-cpu', TARGET.entries, memberChangesPerSecond],
    ['cpu', 'probe-call-cpu', UPDATES_PER_PROBE, PROBES_PER_SECOND],
    ['network', 'probe-wire-bytes', UPDATES_PER_PROBE, PROBE_ROUND_TRIPS_PER_SECOND],
    ['memory', 'member-heap', TARGET.entries, 1],
  ]),
  ...createRows('entry', 'every entry reads the whole list each second', 'today', [
    ['network', 'list-bytes', TARGET.instances, 1],
    ['cpu', 'list-cpu', TARGET.instances, 1],
    ['memory', 'server-heap', TARGET.backendServers, 1],
  ]),
  ...createRows('entry', 'every entry asks every backend server for its load', 'today', [
    ['network', 'report-bytes', TARGET.backendServers, REPORTS_PER_SECOND],
  ]),
  ...createRows('entry', 'routing looks at every backend server', 'today', [
    ['cpu', 'routing-cpu', TARGET.backendServers, requestsPerSecondPerEntry],
  ]),
  ...createRows('look-up', 'all entries ranked and sent', 'today', [
    ['cpu', 'look-up-cpu', TARGET.entries, TARGET.lookUpsPerSecondPerEntry],
    ['network', 'look-up-bytes', TARGET.entries, TARGET.lookUpsPerSecondPerEntry],
  ]),
  ...createRows(
    "operators' client",
    "whole status of every entry, once a change (an entry's part)",
    'today',
    [['network', 'status-bytes', TARGET.entries, configurationChangesPerSecond]],
  ),
];

const REPLACEMENT_ROWS: readonly CapacityRow[] = [
  ...createRows(
    'tailer and relay',
    'change records over a relay tree of 8 children',
    'replacement',
    [
      [
        'network',
        'change-record-bytes',
        CHANGED_VALUES,
        configurationChangesPerSecond * RELAY_COPIES,
      ],
      ['memory', 'config-heap', TARGET.workspaces, 1],
    ],
  ),
  ...createRows(
    'claim owner',
    "a stream for each part of the keys, the owner's part only",
    'replacement',
    [
      ['network', 'claim-record-bytes', 1, TARGET.claimsPerSecondPerEntry * 2],
      ['cpu', 'claim-apply-cpu', 1, TARGET.claimsPerSecondPerEntry],
      ['memory', 'claim-heap', TARGET.claimsKeptPerEntryOneDay, 1],
    ],
  ),
  ...createRows('fleet holder and candidate', 'fleet stream over the relay tree', 'replacement', [
    ['cpu', 'fleet-apply-cpu', TARGET.services, FLEET_RECORDS_PER_SECOND],
    ['memory', 'fleet-heap', TARGET.services, 1],
    ['memory', 'writers-heap', TARGET.writersPerDay, 1],
  ]),
  ...createRows(
    'peer probe',
    'membership within the failure domain, a gateway to each other',
    'replacement',
    [
      ['cpu', 'probe-cpu', PARTITIONED_MEMBERS, PROBES_PER_SECOND],
      ['cpu', 'rumour-cpu', PARTITIONED_MEMBERS, memberChangesPerSecond],
      ['cpu', 'probe-call-cpu', UPDATES_PER_PROBE, PROBES_PER_SECOND],
      ['network', 'probe-wire-bytes', UPDATES_PER_PROBE, PROBE_ROUND_TRIPS_PER_SECOND],
      ['memory', 'member-heap', PARTITIONED_MEMBERS, 1],
    ],
  ),
  ...createRows('entry', 'changes of the list over the relay tree', 'replacement', [
    ['network', 'list-bytes', 1, memberChangesPerSecond * RELAY_COPIES],
  ]),
  ...createRows('entry', 'relayed reports of the 32 backend servers used last', 'replacement', [
    ['network', 'report-bytes', SUBSET_SERVERS, SUBSET_REPORTS_PER_SECOND],
    ['memory', 'server-heap', SUBSET_SERVERS, 1],
    ['cpu', 'routing-cpu', SUBSET_SERVERS, requestsPerSecondPerEntry],
  ]),
  ...createRows('look-up', 'the best 8 of the near members', 'replacement', [
    ['cpu', 'look-up-cpu', PARTITIONED_MEMBERS, TARGET.lookUpsPerSecondPerEntry],
    ['network', 'look-up-bytes', ADDRESSES_PER_RESPONSE, TARGET.lookUpsPerSecondPerEntry],
  ]),
];

/** All rows, the current mechanisms first. */
export const CAPACITY_ROWS: readonly CapacityRow[] = [...CURRENT_ROWS, ...REPLACEMENT_ROWS];
