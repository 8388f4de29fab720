export {
  PEER_READING_WINDOW_MS,
  decideConfigurationCurrency,
  type ConfigurationCurrency,
  type ConfigurationCurrencyVerdict,
  type ConfigurationCurrencyView,
  type PeerReading,
} from './decideConfigurationCurrency.js';
