/** The version of the runner that wrote the first event of a stream. */
export interface StreamOrigin {
  /** Id of the request that brought the first event. */
  requestId: string;
  version: string;
}

/** An origin as entries tell it to replicas and to the store. */
export interface ServiceOrigin extends StreamOrigin {
  /** The service that the stream was begun at. */
  service: string;
}

export interface OriginRecordsOptions {
  /** How long a record is kept after it was last put, in ms. */
  ttlMs: number;
  /** Above this, the records that were put longest ago are dropped. */
  maxRecords: number;
  nowMs(): number;
}

interface StoredOrigin {
  version: string;
  putMs: number;
}

/** The origins of recent streams, begun here or kept for other entries. */
export class OriginRecords {
  /** In the order in which they were put. */
  private readonly records = new Map<string, StoredOrigin>();

  constructor(private readonly options: OriginRecordsOptions) {}

  get size(): number {
    return this.records.size;
  }

  /**
   * Records an origin. The first version recorded for a stream remains: another
   * one would mean that the stream already has events of both.
   *
   * @example records.put({requestId: '9c41d07b', version: 'v1'})
   */
  put({requestId, version}: StreamOrigin): void {
    const known = this.find(requestId);
    this.records.delete(requestId);
    this.records.set(requestId, {
      version: known?.version ?? version,
      putMs: this.options.nowMs(),
    });
    this.prune();
  }

  /** Returns the version that began a stream, and the record's age in ms. */
  find(requestId: string): {version: string; ageMs: number} | undefined {
    const record = this.records.get(requestId);
    if (!record) return undefined;
    const ageMs = this.options.nowMs() - record.putMs;
    if (ageMs > this.options.ttlMs) return undefined;
    return {version: record.version, ageMs};
  }

  private prune(): void {
    const {ttlMs, maxRecords, nowMs} = this.options;
    const oldestMs = nowMs() - ttlMs;
    for (const [requestId, {putMs}] of this.records) {
      if (this.records.size <= maxRecords && putMs >= oldestMs) return;
      this.records.delete(requestId);
    }
  }
}
