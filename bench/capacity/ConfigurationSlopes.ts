/** Cost of the configuration and fleet streams by size: record bytes, CPU time of decoding, heap. */
import {ConfigurationFold, FleetFold} from '../../src/folds/index.js';
import {decodeRecord, encodeRecord, type LogRecord} from '../../src/records/index.js';
import {createConfiguration, createConfigurationRecord, FIXTURE_NOW_MS} from './Fixtures.js';
import {measureCpuMicros, measureHeapBytes} from './Measure.js';
import type {SlopeDefinition} from './SlopeDefinition.js';

const WORKSPACE_COUNTS = [5, 250, 1_000, 2_500, 5_000];
/** Below 500 workspaces, the heap of a configuration is lost in the noise of the garbage collector. */
const LARGE_WORKSPACE_COUNTS = [500, 1_000, 2_500, 5_000, 10_000];
const WRITER_COUNTS = [1_000, 5_000, 20_000, 40_000];
const MOVE_COUNTS = [10, 100, 400, 1_000];

function encodeConfiguration(workspaceCount: number): string {
  return encodeRecord(createConfigurationRecord(createConfiguration(workspaceCount), 0));
}

function createMoveRecord(index: number): LogRecord {
  return {
    writer: `writer-${index}`,
    sequence: 1,
    body: {
      kind: 'move-request',
      moveId: `service-${index}-v2-0123abcd`,
      service: `service-${index}`,
      fromVersion: 'v1',
      toVersion: 'v2',
      requestedAtMs: FIXTURE_NOW_MS,
      deadlineAtMs: FIXTURE_NOW_MS + 1,
      requestedBy: 'operator',
    },
  };
}

/** Encodes an abort of an unknown move, which changes only the fold's table of writers. */
function encodeAbort(index: number): string {
  return encodeRecord({
    writer: `buckthornctl-00000000-0000-4000-8000-${String(index).padStart(12, '0')}`,
    sequence: 1,
    body: {
      kind: 'move-abort',
      moveId: 'none',
      requestedBy: 'operator',
      requestedAtMs: FIXTURE_NOW_MS,
    },
  });
}

function createFleetFold(moveCount: number): FleetFold {
  const fold = new FleetFold();
  for (let index = 0; index < moveCount; index++) {
    fold.applyRecord({offset: index, record: createMoveRecord(index)});
  }
  return fold;
}

/** Encodes a draft record that carries only changed values; this mechanism is not implemented yet. */
function encodeChangeRecord(changeCount: number): string {
  const changes = Array.from({length: changeCount}, (_, index) => ({
    path: `workspaces.workspace-${index}.maxOpenRequests`,
    value: 64 + index,
  }));
  const {writer, sequence} = createConfigurationRecord(createConfiguration(1), 1_000_000);
  const body = {kind: 'configuration-change', replacesRevision: 1_000_000, changes};
  return JSON.stringify({writer, sequence, body: {...body, publishedBy: 'operator'}});
}

/** Measured quantities of the configuration and fleet streams. */
export const CONFIGURATION_SLOPES: readonly SlopeDefinition[] = [
  {
    id: 'config-record-bytes',
    description: 'whole configuration as a record',
    sizeUnit: 'workspaces',
    valueUnit: 'bytes',
    sizes: WORKSPACE_COUNTS,
    measure: count => Buffer.byteLength(encodeConfiguration(count)),
  },
  {
    id: 'change-record-bytes',
    description: 'draft of a record with the changed values only',
    sizeUnit: 'changed values',
    valueUnit: 'bytes',
    sizes: [1, 4, 16, 64],
    measure: count => Buffer.byteLength(encodeChangeRecord(count)),
  },
  {
    id: 'config-apply-cpu',
    description: 'decode a configuration record and fold it',
    sizeUnit: 'workspaces',
    valueUnit: 'us',
    sizes: WORKSPACE_COUNTS,
    measure: count => {
      const payload = encodeConfiguration(count);
      return measureCpuMicros(() =>
        new ConfigurationFold().applyRecord({offset: 0, record: decodeRecord(payload)}),
      );
    },
  },
  {
    id: 'config-heap',
    description: 'configuration in force',
    sizeUnit: 'workspaces',
    valueUnit: 'bytes',
    sizes: LARGE_WORKSPACE_COUNTS,
    measure: count => {
      const payload = encodeConfiguration(count);
      return measureHeapBytes(() => {
        const fold = new ConfigurationFold();
        fold.applyRecord({offset: 0, record: decodeRecord(payload)});
        return fold;
      });
    },
  },
  {
    id: 'writers-heap',
    description: 'writers that the fleet fold keeps to recognise repeats',
    sizeUnit: 'writers',
    valueUnit: 'bytes',
    sizes: WRITER_COUNTS,
    measure: count =>
      measureHeapBytes(() => {
        const fold = new FleetFold();
        for (let index = 0; index < count; index++) {
          fold.applyRecord({offset: index, record: decodeRecord(encodeAbort(index))});
        }
        return fold;
      }),
  },
  {
    id: 'fleet-heap',
    description: 'fleet fold with one move a service',
    sizeUnit: 'services',
    valueUnit: 'bytes',
    sizes: MOVE_COUNTS,
    measure: count => measureHeapBytes(() => createFleetFold(count)),
  },
  {
    id: 'fleet-snapshot-bytes',
    description: 'snapshot of the fleet stream, one move a service',
    sizeUnit: 'services',
    valueUnit: 'bytes',
    sizes: MOVE_COUNTS,
    measure: count =>
      Buffer.byteLength(JSON.stringify(createFleetFold(count).createSnapshot(count - 1))),
  },
  {
    id: 'fleet-apply-cpu',
    description: 'decode a step of a move and fold it',
    sizeUnit: 'services',
    valueUnit: 'us',
    sizes: MOVE_COUNTS,
    measure: count => {
      const fold = createFleetFold(count);
      const payload = encodeRecord({
        writer: 'holder',
        sequence: 1,
        body: {
          kind: 'move-step',
          moveId: `service-${count - 1}-v2-0123abcd`,
          fencingToken: -1,
          phase: 'running',
          sharePercent: 5,
          decidedAtMs: FIXTURE_NOW_MS,
        },
      });
      let sequence = 0;
      return measureCpuMicros(() => {
        const record = {...decodeRecord(payload), sequence: ++sequence};
        fold.applyRecord({offset: count + sequence, record});
      });
    },
  },
];
