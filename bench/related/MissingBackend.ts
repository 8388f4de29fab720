/**
 * Compares status codes for a route without backend servers, by how many callers with undici's default retry interceptor
 * still get a response after the gap.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Agent, interceptors, request} from 'undici';

/** Number of callers that finally got status 200, for one status during the gap. */
export interface MissingBackendResult {
  /** Status sent while there was no backend server. */
  readonly status: number;
  readonly callers: number;
  readonly answeredCallers: number;
}

const CALLERS = 100;
const GAP_MS = 1_500;
const STATUSES = [503, 404];

/** Measures statuses 503 and 404 with a gap of 1.5 s and 100 callers each. */
export async function measureMissingBackend(): Promise<readonly MissingBackendResult[]> {
  const results: MissingBackendResult[] = [];
  for (const status of STATUSES) results.push(await measureStatus(status));
  return results;
}

async function measureStatus(status: number): Promise<MissingBackendResult> {
  const startedAtMs = performance.now();
  const server = createServer((_, response) => {
    const isInGap = performance.now() - startedAtMs < GAP_MS;
    response.writeHead(isInGap ? status : 200, isInGap ? {'retry-after': '1'} : {}).end();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const agent = new Agent();
  const dispatcher = agent.compose(interceptors.retry());
  const statuses = await Promise.all(
    Array.from({length: CALLERS}, async () => {
      const response = await request(url, {dispatcher}).catch(() => undefined);
      await response?.body.dump();
      return response?.statusCode;
    }),
  );
  await agent.destroy();
  server.close();
  return {
    status,
    callers: CALLERS,
    answeredCallers: statuses.filter(finalStatus => finalStatus === 200).length,
  };
}
