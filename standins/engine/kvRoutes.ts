/** Routes of an engine for the export and import of KV cache. */
import {z} from 'zod';
import type {Exchange, Route} from '../http/index.js';
import type {JobBlocks} from './EngineScheduler.js';
import {kvImportSchema, type KvTransfers} from './KvTransfers.js';

const exportSchema = z.strictObject({requestId: z.string()});

/**
 * Returns the routes.
 * @param transfers - Keeps exports and fetches imports.
 * @param getBlocks - Returns what the cache holds of a running request.
 * @param canExport - Whether the engine exports at all.
 */
export function createKvRoutes(
  transfers: KvTransfers,
  getBlocks: (requestId: string) => JobBlocks | undefined,
  canExport: boolean,
): readonly Route[] {
  const exportKv = async (exchange: Exchange) => {
    const {requestId} = exportSchema.parse(await exchange.readJson());
    if (!canExport) {
      exchange.sendJson(404, {error: 'KV cache is not exported here'});
      return;
    }
    const blocks = getBlocks(requestId);
    if (blocks) exchange.sendJson(200, transfers.addExport(requestId, blocks));
    else exchange.sendJson(404, {error: `request ${requestId} is not running here`});
  };
  const importKv = async (exchange: Exchange) => {
    const source = kvImportSchema.parse(await exchange.readJson());
    exchange.sendJson(200, {tokens: await transfers.importFrom(source)});
  };
  return [
    {method: 'POST', path: /^\/cache\/export$/, handler: exportKv},
    {method: 'POST', path: /^\/cache\/import$/, handler: importKv},
    {
      method: 'GET',
      path: /^\/cache\/exports\/([^/]+)$/,
      handler: (exchange, [kvId]) => {
        const blocks = transfers.getExport(kvId);
        exchange.sendJson(blocks ? 200 : 404, blocks ?? {error: `no export ${kvId}`});
      },
    },
  ];
}
