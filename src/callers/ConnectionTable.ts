/** Bounds the number of callers' connections, and decides which one is closed for a new one. */

/** Use of a connection, in the order in which connections are closed for a new one. */
export type ConnectionUse = 'closing' | 'idle' | 'receiving' | 'serving';

/** `serving` is missing: its requests may be running. */
const CLOSED_FIRST: readonly ConnectionUse[] = ['closing', 'idle', 'receiving'];

/** Open connection. */
interface Entry {
  readonly source: string;
  use: ConnectionUse;
}

/** Connections of one source by their use, each set in the order in which that use began. */
type SourceConnections<Connection> = Readonly<Record<ConnectionUse, Set<Connection>>>;

/** The open connections of all callers, by their source address. */
export class ConnectionTable<Connection> {
  private readonly maxConnections: number;
  private readonly entries = new Map<Connection, Entry>();
  private readonly sources = new Map<string, SourceConnections<Connection>>();

  /** @param maxConnections - Connections that may be open together. */
  constructor(maxConnections: number) {
    this.maxConnections = maxConnections;
  }

  /** Number of open connections. */
  get size(): number {
    return this.entries.size;
  }

  /** Open connections. */
  getConnections(): IterableIterator<Connection> {
    return this.entries.keys();
  }

  /** Use of a connection; undefined if it isn't in the table. */
  getUse(connection: Connection): ConnectionUse | undefined {
    return this.entries.get(connection)?.use;
  }

  /**
   * Adds an idle connection.
   * @returns The connection that must be closed because there are too many: the one that has been idle for longest, or
   *     else receiving a request for longest, of the source that has most. It is the new one if all of those are serving
   *     requests.
   */
  add(connection: Connection, source: string): Connection | undefined {
    const use = 'idle';
    this.entries.set(connection, {source, use});
    this.getSource(source)[use].add(connection);
    return this.entries.size > this.maxConnections ? this.chooseClosed(connection) : undefined;
  }

  /** Changes the use of a connection; it becomes the newest one with that use. */
  setUse(connection: Connection, use: ConnectionUse): void {
    const entry = this.entries.get(connection);
    if (!entry || entry.use === use) return;
    const source = this.getSource(entry.source);
    source[entry.use].delete(connection);
    source[use].add(connection);
    entry.use = use;
  }

  /** Removes a connection that is closed. */
  remove(connection: Connection): void {
    const entry = this.entries.get(connection);
    if (!entry) return;
    this.entries.delete(connection);
    const source = this.getSource(entry.source);
    source[entry.use].delete(connection);
    if (countConnections(source) === 0) this.sources.delete(entry.source);
  }

  /** Returns the connection to close, so that the number is within its bound again. */
  private chooseClosed(newConnection: Connection): Connection {
    let largest: SourceConnections<Connection> | undefined;
    let largestCount = 0;
    for (const source of this.sources.values()) {
      const count = countConnections(source);
      if (count <= largestCount) continue;
      largest = source;
      largestCount = count;
    }
    for (const use of CLOSED_FIRST) {
      for (const connection of largest?.[use] ?? []) return connection;
    }
    return newConnection;
  }

  private getSource(name: string): SourceConnections<Connection> {
    const found = this.sources.get(name);
    if (found) return found;
    const source = {
      closing: new Set<Connection>(),
      idle: new Set<Connection>(),
      receiving: new Set<Connection>(),
      serving: new Set<Connection>(),
    };
    this.sources.set(name, source);
    return source;
  }
}

function countConnections<C>({closing, idle, receiving, serving}: SourceConnections<C>): number {
  return closing.size + idle.size + receiving.size + serving.size;
}
