/** A trial from the related reading: what a caller with an ordinary retrying client gets while a route has no backend server. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Agent, interceptors, request} from 'undici';

/** Callers that were answered, by the status they met while there was no backend server. */
export interface MissingBackendResult {
  readonly status: number;
  readonly callers: number;
  readonly answered: number;
}

const CALLERS = 100;
const GAP_MS = 1_500;
const STATUSES = [503, 404];

/** Measures each status. */
export async function measureMissingBackend(): Promise<readonly MissingBackendResult[]> {
  const results: MissingBackendResult[] = [];
  for (const status of STATUSES) results.push(await measureStatus(status));
  return results;
}

async function measureStatus(status: number): Promise<MissingBackendResult> {
  const startedAtMs = performance.now();
  const server = createServer((_, response) => {
    const isGap = performance.now() - startedAtMs < GAP_MS;
    response.writeHead(isGap ? status : 200, isGap ? {'retry-after': '1'} : {}).end();
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
  return {status, callers: CALLERS, answered: statuses.filter(found => found === 200).length};
}
