export {CostMeter, sumPrices, type CostMeterOptions, type InstancePrice} from './CostMeter.js';
export {
  planLoad,
  type RequestKind,
  type LoadPlanOptions,
  type LoadWorkspace,
  type PlannedRequest,
} from './LoadPlan.js';
export {
  createHtmlReport,
  createMarkdownReport,
  type ReportOptions,
  type ReportedLoad,
} from './LoadReport.js';
export {
  LoadResult,
  type DurationSummary,
  type ErrorKindCount,
  type LoadSecondSummary,
  type LoadSummary,
  type RequestOutcome,
} from './LoadResult.js';
export {
  createReportMarkdown,
  createReportPage,
  type ExperimentReport,
  type ReportPlot,
  type ReportTable,
} from './ReportPage.js';
export {
  createBarPlot,
  createLinePlot,
  escapeHtml,
  SERIES_COLORS,
  type BarPlotOptions,
  type BarSeries,
  type LinePlotOptions,
  type PlotMark,
  type PlotPoint,
  type PlotSeries,
} from './SvgPlot.js';
export {LoadRunner, type LoadRunnerOptions} from './LoadRunner.js';
export {LOAD_SETTINGS, type LoadSettings} from './LoadSettings.js';
