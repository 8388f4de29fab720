export {registerBackend, unregisterBackend, type BackendIdentity} from './BackendIdentity.js';
export {BackendLifecycle, type BackendLifecycleOptions} from './BackendLifecycle.js';
