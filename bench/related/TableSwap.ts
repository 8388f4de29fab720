/** Compares two ways to update the table of backend servers: replacing it with a changed copy, or changing it in place. */
import {Blackboard, type BackendServer} from '../../src/blackboard/index.js';
import {createBackendServer, fitLine, measureCpuMicros, type LineFit} from '../capacity/index.js';

/** CPU time in microseconds of one update by either way, for each number of backend servers. */
export interface TableSwapResult {
  readonly serverCounts: readonly number[];
  readonly swapMicros: readonly number[];
  readonly inPlaceMicros: readonly number[];
  /** Line fitted through `swapMicros`. */
  readonly swapFit: LineFit;
}

const SERVER_COUNTS = [14, 500, 2_000, 5_000, 10_000];

/** Measures both ways with 14 to 10,000 backend servers. */
export function measureTableSwap(): TableSwapResult {
  const swapMicros = SERVER_COUNTS.map(measureSwap);
  return {
    serverCounts: SERVER_COUNTS,
    swapMicros,
    inPlaceMicros: SERVER_COUNTS.map(measureInPlace),
    swapFit: fitLine(
      SERVER_COUNTS.map((itemCount, index) => ({itemCount, value: swapMicros[index] ?? 0})),
    ),
  };
}

function createServers(count: number): readonly BackendServer[] {
  return Array.from({length: count}, (_, index) => createBackendServer(index));
}

function measureSwap(count: number): number {
  const blackboard = new Blackboard();
  let servers = createServers(count);
  return measureCpuMicros(() => {
    servers = servers.map(server => ({...server}));
    blackboard.setSection('backendServers', {servers});
  });
}

function measureInPlace(count: number): number {
  const servers = new Map(createServers(count).map(server => [server.instanceId, server]));
  const changed = createBackendServer(count - 1);
  return measureCpuMicros(() => {
    servers.set(changed.instanceId, {...changed});
  });
}
