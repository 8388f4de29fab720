/** Cost of server state, routing, the platform's list and the prefix index by the number of backend servers or blocks. */
import {
  chooseBackendServer,
  PrefixIndex,
  type RoutingView,
} from '../../src/controllers/routing/index.js';
import {instanceSchema} from '../../src/infrastructure/InstanceSchema.js';
import {
  createBackendServer,
  createConfiguration,
  createInstance,
  createMember,
  FIXTURE_NOW_MS,
} from './Fixtures.js';
import {measureCpuMicros, measureHeapBytes} from './Measure.js';
import type {SlopeDefinition} from './SlopeDefinition.js';

const REPLICA_COUNTS = [14, 500, 2_000, 5_000, 10_000];
const INSTANCE_COUNTS = [20, 1_000, 4_000, 13_200];
const BLOCK_COUNTS = [1_000, 5_000, 20_000, 50_000];
const HASH_DIGITS = 16;
/** Blocks of a prompt of 2,000 tokens at 16 tokens per block. */
const PROMPT_BLOCKS = 125;

function createView(replicaCount: number): RoutingView {
  const self = createMember(0);
  return {
    configuration: createConfiguration(5),
    servers: Array.from({length: replicaCount}, (_, index) => createBackendServer(index)),
    failureDomains: [],
    moves: [],
    incidents: [],
    entries: [self],
    ownInstanceId: self.instanceId,
    ownFailureDomain: self.failureDomain,
    getOpenRequests: () => 1,
    getCachedTokens: () => 0,
  };
}

function createBlockHash(index: number): string {
  return index.toString(16).padStart(HASH_DIGITS, '0');
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/** Measured quantities that grow with the number of backend servers, instances or cached blocks. */
export const REPLICA_SLOPES: readonly SlopeDefinition[] = [
  {
    id: 'server-heap',
    description: 'backend servers with their load reports',
    sizeUnit: 'backend servers',
    valueUnit: 'bytes',
    sizes: REPLICA_COUNTS,
    measure: count =>
      measureHeapBytes(() => {
        const servers = Array.from({length: count}, (_, index) => createBackendServer(index));
        return JSON.parse(JSON.stringify(servers)) as unknown;
      }),
  },
  {
    id: 'routing-cpu',
    description: 'one routing decision among 40 services',
    sizeUnit: 'backend servers',
    valueUnit: 'us',
    sizes: REPLICA_COUNTS,
    measure: count => {
      const view = createView(count);
      const request = {
        service: 'service-1',
        workspace: 'workspace-1',
        requestClass: 'chat',
        promptTokens: 2_000,
        blockHashes: [],
        excludedInstanceIds: new Set<string>(),
        deadlineAtMs: FIXTURE_NOW_MS + 300_000,
      };
      return measureCpuMicros(
        () => void chooseBackendServer(view, request, FIXTURE_NOW_MS, () => 0.5),
      );
    },
  },
  {
    id: 'list-bytes',
    description: "the platform's list of instances as JSON",
    sizeUnit: 'instances',
    valueUnit: 'bytes',
    sizes: INSTANCE_COUNTS,
    measure: count =>
      JSON.stringify(Array.from({length: count}, (_, index) => createInstance(index))).length,
  },
  {
    id: 'list-cpu',
    description: "decode and check the platform's list",
    sizeUnit: 'instances',
    valueUnit: 'us',
    sizes: INSTANCE_COUNTS,
    measure: count => {
      const text = JSON.stringify(Array.from({length: count}, (_, index) => createInstance(index)));
      const schema = instanceSchema.array();
      return measureCpuMicros(() => void schema.parse(JSON.parse(text)));
    },
  },
  {
    id: 'report-bytes',
    description: 'load reports as JSON, headers not counted',
    sizeUnit: 'backend servers',
    valueUnit: 'bytes',
    sizes: REPLICA_COUNTS,
    measure: count =>
      getSum(
        Array.from({length: count}, (_, index) => {
          const {load, state} = createBackendServer(index);
          return JSON.stringify({...load, cachedTokensLimit: 200_000, state}).length;
        }),
      ),
  },
  {
    id: 'prefix-heap',
    description: 'index of cached prefixes',
    sizeUnit: 'blocks',
    valueUnit: 'bytes',
    sizes: BLOCK_COUNTS,
    measure: count =>
      measureHeapBytes(() => {
        const index = new PrefixIndex();
        const events = Array.from({length: count}, (_, sequence) => ({
          sequence,
          kind: 'stored' as const,
          blockHash: createBlockHash(sequence),
        }));
        const slice = {fromSequence: 0, events, nextSequence: count, earliestSequence: 0};
        index.applyEvents('backend-1', slice, FIXTURE_NOW_MS);
        return index;
      }),
  },
  {
    id: 'prefix-cpu',
    description: 'take a slice of cache events',
    sizeUnit: 'events',
    valueUnit: 'us',
    sizes: [PROMPT_BLOCKS, 500, 2_000, 5_000],
    measure: count => {
      const index = new PrefixIndex();
      let next = 0;
      return measureCpuMicros(() => {
        const events = Array.from({length: count}, (_, offset) => ({
          sequence: next + offset,
          kind: 'stored' as const,
          blockHash: createBlockHash(offset),
        }));
        const slice = {fromSequence: next, events, nextSequence: next + count, earliestSequence: 0};
        index.applyEvents('backend-1', slice, FIXTURE_NOW_MS);
        next += count;
      });
    },
  },
];
