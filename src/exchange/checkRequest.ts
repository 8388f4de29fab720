/** Checks a request against the configuration in force: its route and the API key of its caller. */
import type {Catalog, Route, Workspace} from '../catalog/index.js';
import type {Refusal, ServingRequest} from './ExchangeTypes.js';

/** The route and workspace of a request, or why it is refused. */
export type RequestCheck =
  | {
      readonly kind: 'allowed';
      readonly route: Route;
      /** Undefined if the route or the deployment needs no key. */
      readonly workspace: Workspace | undefined;
    }
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Limits that `checkRequest` applies. */
export interface RequestCheckOptions {
  /** Time since the configuration was certainly the newest one. */
  readonly configurationAgeMs: number;
  /** Age of the configuration above which all requests are refused, since its API keys can't be trusted any more. */
  readonly maxConfigurationAgeMs: number;
}

/** Delay before a retry of a request that this gateway can't serve; short, since another gateway can serve it. */
export const RETRY_ELSEWHERE_MS = 100;

/** Finds the route and workspace of a request, or refuses it. */
export function checkRequest(
  catalog: Catalog,
  request: Pick<ServingRequest, 'host' | 'path' | 'key'>,
  options: RequestCheckOptions,
): RequestCheck {
  const {routeTable} = catalog;
  if (!routeTable) return refuse('not-configured', RETRY_ELSEWHERE_MS);
  if (options.configurationAgeMs > options.maxConfigurationAgeMs) {
    return refuse('not-current', RETRY_ELSEWHERE_MS);
  }
  const route = routeTable.getRoute(request.host, request.path);
  if (!route) return refuse('no-route', undefined);
  if (route.isPublic || !routeTable.needsKeys)
    return {kind: 'allowed', route, workspace: undefined};
  const workspace = request.key === undefined ? undefined : routeTable.getWorkspace(request.key);
  if (!workspace) return refuse('no-key', undefined);
  return {kind: 'allowed', route, workspace};
}

function refuse(kind: Refusal['kind'], retryAfterMs: number | undefined): RequestCheck {
  return {kind: 'refused', refusal: {kind, isNotRun: true, retryAfterMs}};
}
