/** Looks up routes by host and path, and workspaces by key, in one version of the configuration. */
import type {Route, ServingConfiguration, Workspace} from './ServingConfiguration.js';

/** Lookup table for one version of the configuration: routes by host, workspaces by key. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly workspacesByKey = new Map<string, Workspace>();
  readonly configuration: ServingConfiguration;

  constructor(configuration: ServingConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) this.addRoute(route);
    for (const workspace of configuration.workspaces) {
      for (const key of workspace.keys) this.workspacesByKey.set(key, workspace);
    }
  }

  /** Whether routes that aren't public need a key; false for a configuration without workspaces. */
  get needsKeys(): boolean {
    return this.configuration.workspaces.length > 0;
  }

  /**
   * Returns the route of a host whose path prefix is the longest that matches.
   * @param host - Host header of the request, with or without a port; case is ignored.
   * @param path - Path with or without a query string.
   */
  getRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(removePort(host).toLowerCase()) ?? [];
    return routes.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /**
   * Returns the workspace to which a key belongs.
   * @param key - Key sent by the caller.
   */
  getWorkspace(key: string): Workspace | undefined {
    return this.workspacesByKey.get(key);
  }

  /** Adds a route to those of its host, sorted by descending length of the prefix. */
  private addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const routes = this.routesByHost.get(host) ?? [];
    routes.push(route);
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    this.routesByHost.set(host, routes);
  }
}

function removePort(host: string): string {
  return host.replace(/:\d+$/, '');
}
