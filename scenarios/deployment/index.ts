export {
  Deployment,
  type BackendPlan,
  type DaemonPlan,
  type DeploymentOptions,
  type PlatformUrls,
} from './Deployment.js';
export {ManagedProcess, type ManagedProcessOptions, type ReadyLine} from './ManagedProcess.js';
