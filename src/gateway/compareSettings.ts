/** Determines which changed settings a running gateway can apply and which need a restart. */
import type {GatewaySettings} from './GatewaySettings.js';

/** Names of the changed settings. */
export interface SettingsChange {
  readonly applied: readonly string[];
  readonly needRestart: readonly string[];
}

/** Settings that take effect without a restart. */
const LIVE_SETTINGS: ReadonlySet<string> = new Set<keyof GatewaySettings>(['gossipSeeds']);
/** Settings that describe one start of the process; they are not compared. */
const PER_START_SETTINGS: ReadonlySet<string> = new Set<keyof GatewaySettings>([
  'incarnation',
  'isFirstStart',
]);

/**
 * Compares the settings in force with those of a changed settings file.
 * @param before - Settings in force.
 * @param after - Settings of the changed file.
 */
export function compareSettings(before: GatewaySettings, after: GatewaySettings): SettingsChange {
  const names = Object.keys(after) as readonly (keyof GatewaySettings)[];
  const changed = names.filter(
    name =>
      !PER_START_SETTINGS.has(name) &&
      toComparableText(before[name]) !== toComparableText(after[name]),
  );
  return {
    applied: changed.filter(name => LIVE_SETTINGS.has(name)),
    needRestart: changed.filter(name => !LIVE_SETTINGS.has(name)),
  };
}

function toComparableText(value: GatewaySettings[keyof GatewaySettings]): string {
  return JSON.stringify(value instanceof Map ? [...value] : value);
}
