export {Metrics, type MetricTags, type MetricValue, type MetricsOptions} from './Metrics.js';
