/** Checks a request against the configuration in force. */
import type {Catalog, Route, Workspace} from '../catalog/index.js';
import type {Refusal, ServingRequest} from './ExchangeTypes.js';

/** The route and workspace of a request, or why it has none. */
export type RequestCheck =
  | {
      readonly kind: 'allowed';
      readonly route: Route;
      readonly workspace: Workspace | undefined;
    }
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Options of `checkRequest`. */
export interface RequestCheckOptions {
  /** Age of the configuration beyond which keys can't be trusted any more. */
  readonly maxConfigurationAgeMs: number;
}

/** A caller that meets a gateway without a current configuration finds another one. */
const RETRY_ELSEWHERE_MS = 100;

/**
 * Finds the route and workspace of a request.
 * @param catalog - What is known of the deployment.
 * @param request - The request; its body isn't read.
 * @param options - Limits.
 * @param nowMs - Present time.
 */
export function checkRequest(
  catalog: Catalog,
  request: Pick<ServingRequest, 'host' | 'path' | 'key'>,
  options: RequestCheckOptions,
  nowMs: number,
): RequestCheck {
  const {table} = catalog;
  if (!table) return refuse('not-configured', RETRY_ELSEWHERE_MS);
  if (catalog.getOperatorAgeMs(nowMs) > options.maxConfigurationAgeMs) {
    return refuse('not-current', RETRY_ELSEWHERE_MS);
  }
  const route = table.getRoute(request.host, request.path);
  if (!route) return refuse('no-route', undefined);
  if (route.isPublic || !table.needsKeys) return {kind: 'allowed', route, workspace: undefined};
  const workspace = request.key === undefined ? undefined : table.getWorkspace(request.key);
  if (!workspace) return refuse('no-key', undefined);
  return {kind: 'allowed', route, workspace};
}

function refuse(kind: Refusal['kind'], retryAfterMs: number | undefined): RequestCheck {
  return {kind: 'refused', refusal: {kind, isNotRun: true, retryAfterMs}};
}
