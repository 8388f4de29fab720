export {Exchange} from './Exchange.js';
export {
  StandinServer,
  type Handler,
  type Route,
  type StandinServerOptions,
} from './StandinServer.js';
