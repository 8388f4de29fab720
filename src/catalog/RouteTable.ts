/** Looks up routes by host and path, and workspaces by key, in one version of the configuration. */
import type {Route, ServingConfiguration, Workspace} from './ServingConfiguration.js';

/** Index of one version of the configuration. */
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

  /** Whether callers have to show a key on routes that aren't public. */
  get needsKeys(): boolean {
    return this.configuration.workspaces.length > 0;
  }

  /**
   * Returns the route with the longest prefix of a path.
   * @param host - Host as the caller names it, with or without a port.
   * @param path - Path with or without a query.
   */
  getRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(removePort(host).toLowerCase()) ?? [];
    return routes.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /**
   * Returns the workspace that holds a key.
   * @param key - The caller's key.
   */
  getWorkspace(key: string): Workspace | undefined {
    return this.workspacesByKey.get(key);
  }

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
