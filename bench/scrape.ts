/** Figures of one process from its own metrics. */

interface Figures {
  readonly cpuSeconds: number
  readonly residentBytes: number
  readonly heapBytes: number
}

/** Reads them out of the text of `/metrics`. */
export function scrape (text: string): Figures {
  const value = (name: string): number => Number(new RegExp(`^${name} (.*)$`, 'm').exec(text)?.[1])
  return {
    cpuSeconds: value('process_cpu_seconds_total'),
    residentBytes: value('process_resident_memory_bytes'),
    heapBytes: value('nodejs_heap_size_used_bytes')
  }
}
