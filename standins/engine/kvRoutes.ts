/** HTTP routes of an engine that export and import KV cache blocks. */
import {z} from 'zod';
import type {Exchange, Route} from '../http/index.js';
import type {JobBlocks} from './EngineScheduler.js';
import {kvImportSchema, type KvTransfers} from './KvTransfers.js';

const exportSchema = z.strictObject({requestId: z.string()});

/**
 * Returns the routes `POST /cache/export`, `POST /cache/import` and `GET /cache/exports/{kvId}`.
 * @param getBlocks - Returns the blocks of a running request by its id; undefined if there is nothing to export.
 * @param canExport - Whether exports are enabled; if not, they get status 404.
 */
export function createKvRoutes(
  transfers: KvTransfers,
  getBlocks: (requestId: string) => JobBlocks | undefined,
  canExport: boolean,
): readonly Route[] {
  const exportKv = async (exchange: Exchange) => {
    const {requestId} = exportSchema.parse(await exchange.readJson());
    if (!canExport) {
      exchange.sendJson(404, {error: 'KV cache export is disabled'});
      return;
    }
    const blocks = getBlocks(requestId);
    if (blocks) exchange.sendJson(200, transfers.addExport(requestId, blocks));
    else exchange.sendJson(404, {error: `request ${requestId} is not running on this engine`});
  };
  const importKv = async (exchange: Exchange) => {
    const source = kvImportSchema.parse(await exchange.readJson());
    exchange.sendJson(200, {tokens: await transfers.importKvCache(source)});
  };
  return [
    {method: 'POST', path: /^\/cache\/export$/, handler: exportKv},
    {method: 'POST', path: /^\/cache\/import$/, handler: importKv},
    {
      method: 'GET',
      path: /^\/cache\/exports\/([^/]+)$/,
      handler: (exchange, [kvId]) => {
        const blocks = transfers.getExport(kvId);
        exchange.sendJson(blocks ? 200 : 404, blocks ?? {error: `export ${kvId} does not exist`});
      },
    },
  ];
}
