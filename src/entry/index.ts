export {EntryDaemon, type EntryDaemonOptions} from './EntryDaemon.js';
export {ENTRY_SETTINGS, checkEntrySettings, type EntrySettings} from './EntrySettings.js';
