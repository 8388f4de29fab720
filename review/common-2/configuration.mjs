/** Operator's configuration of the cases: one plain service, and one tenant without an allotment. */

/** @param routes - Fields of each route beside its name, host and service. */
export function createConfiguration(host, routes, tenant = {}) {
  return {
    version: 3,
    routes: routes.map((route, index) => ({
      name: `route-${index + 1}`,
      host,
      service: 'app',
      attempts: 1,
      goal_ms: 1_000,
      priority: 2,
      ...route,
    })),
    services: [{name: 'app', max_conns: 110, cold_start_s: 0, cold_per_s: 0}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{name: 'tenant-a', api_keys: ['key-of-tenant-a'], unit: 'tokens', plain_tokens: 200, ...tenant}],
  };
}
