/** Target size of a deployment: required sizes and rates, values derived from them, and assumptions. */

const SECONDS_PER_DAY = 86_400;
const ENTRIES = 3_200;
const REQUESTS_PER_SECOND = 58_000;
const NON_IDEMPOTENT_SHARE = 0.01;
const CLAIM_KEEP_DAYS = 7;
const LOOK_UPS_PER_SECOND = 4_000;
const FAILURE_DOMAINS = 12;
const INSTANCE_CHANGES_PER_DAY = 220 + 1_400;
/** Membership updates per replaced instance: leaving, gone, and started again. */
const STATES_PER_CHANGE = 3;
const DAYS_PER_YEAR = 365;

/** Sizes and rates of the target deployment. */
export const TARGET = {
  entries: ENTRIES,
  backendServers: 10_000,
  instances: ENTRIES + 10_000,
  workspaces: 5_000,
  services: 40,
  failureDomains: FAILURE_DOMAINS,
  entriesPerDomain: Math.ceil(ENTRIES / FAILURE_DOMAINS),
  configurationChangesPerDay: 38_000,
  configurationChangesPerSecond: 38_000 / SECONDS_PER_DAY,
  memberChangesPerSecond: (INSTANCE_CHANGES_PER_DAY * STATES_PER_CHANGE) / SECONDS_PER_DAY,
  /** Each daemon start adds a log writer. */
  writersPerDay: INSTANCE_CHANGES_PER_DAY,
  writersPerYear: INSTANCE_CHANGES_PER_DAY * DAYS_PER_YEAR,
  requestsPerSecondPerEntry: REQUESTS_PER_SECOND / ENTRIES,
  claimsPerSecond: REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE,
  claimsKept: REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE * CLAIM_KEEP_DAYS * SECONDS_PER_DAY,
  claimsPerSecondPerEntry: (REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE) / ENTRIES,
  claimsKeptPerEntryOneDay: Math.ceil(
    (REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE * SECONDS_PER_DAY) / ENTRIES,
  ),
  lookUpsPerSecondPerEntry: LOOK_UPS_PER_SECOND / ENTRIES,
} as const;

/** Resources that one daemon may spend on control, in the units of `RESOURCE_UNITS`. */
export const BUDGET = {cpu: 3.9, memory: 32, network: 21} as const;

/** A budgeted resource. */
export type Resource = keyof typeof BUDGET;

/** Units of the budget and of the page's values. */
export const RESOURCE_UNITS: Readonly<Record<Resource, string>> = {
  cpu: '% of a core',
  memory: 'MB',
  network: 'KB/s',
};

/** Divisors from the measured units (microseconds per second, bytes, bytes per second) to `RESOURCE_UNITS`. */
export const RESOURCE_DIVISORS: Readonly<Record<Resource, number>> = {
  cpu: 10_000,
  memory: 1_000_000,
  network: 1_000,
};
