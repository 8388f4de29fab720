export {
  PROBE_RESULT_WINDOW_MS,
  decideConfigurationCurrency,
  type ConfigurationCurrency,
  type ConfigurationCurrencyDecision,
  type ConfigurationCurrencyView,
  type PeerProbeResult,
} from './decideConfigurationCurrency.js';
