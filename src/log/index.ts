export {
  LogClient,
  type LogAccess,
  type LogClientOptions,
  type LogReadOptions,
  type LogSlice,
  type StoredRecord,
} from './LogClient.js';
export {LogTailer, type LogTailerOptions} from './LogTailer.js';
export {LogWriter, type LogWriterOptions} from './LogWriter.js';
export {StreamFollower, type StreamFollowerOptions} from './StreamFollower.js';
export {systemSleep, type Sleep} from './Sleep.js';
export {SnapshotPublisher, type SnapshotPublisherOptions} from './SnapshotPublisher.js';
