/** Tells which changed settings a running gateway applies. */
import type {GatewaySettings} from './GatewaySettings.js';

/** Names of the settings that differ. */
export interface SettingsChange {
  readonly applied: readonly string[];
  readonly needRestart: readonly string[];
}

/** Settings that a running gateway applies. */
const LIVE: ReadonlySet<string> = new Set<keyof GatewaySettings>(['gossipSeeds']);
/** Settings that say something of a start. */
const OF_A_START: ReadonlySet<string> = new Set<keyof GatewaySettings>([
  'incarnation',
  'isFirstStart',
]);

/**
 * Compares the settings in force with newer ones.
 * @param before - Those in force.
 * @param after - The newer ones.
 */
export function compareSettings(before: GatewaySettings, after: GatewaySettings): SettingsChange {
  const names = Object.keys(after) as readonly (keyof GatewaySettings)[];
  const changed = names.filter(
    name => !OF_A_START.has(name) && toText(before[name]) !== toText(after[name]),
  );
  return {
    applied: changed.filter(name => LIVE.has(name)),
    needRestart: changed.filter(name => !LIVE.has(name)),
  };
}

function toText(value: GatewaySettings[keyof GatewaySettings]): string {
  return JSON.stringify(value instanceof Map ? [...value] : value);
}
