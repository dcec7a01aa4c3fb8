/** Metrics of the process's resources, each with its limit beside it. */

/** Descriptions by name. */
export const PROCESS_METRICS = {
  "process.userMs": {
    kind: "gauge",
    text: "Processor time of the process outside the kernel, in milliseconds",
  },
  "process.systemMs": {
    kind: "gauge",
    text: "Processor time of the kernel for the process, in milliseconds",
  },
  "process.heapUsedBytes": {
    kind: "gauge",
    text: "Heap in use, in bytes; the process ends at process.heapLimitBytes",
  },
  "process.heapLimitBytes": {
    kind: "gauge",
    text: "Size up to which the heap may grow, in bytes",
  },
  "process.externalBytes": {
    kind: "gauge",
    text:
      "Memory of buffers and other objects outside the heap, in bytes; part of process.residentBytes",
  },
  "process.arrayBufferBytes": {
    kind: "gauge",
    text: "Memory of buffers, in bytes; part of process.externalBytes",
  },
  "process.residentBytes": {
    kind: "gauge",
    text: "Resident memory, in bytes; its limit is process.memoryLimitBytes",
  },
  "process.memoryLimitBytes": {
    kind: "gauge",
    text:
      "Memory that the process may use by the settings, its control group or the machine, in bytes",
  },
  "process.openDescriptors": {
    kind: "gauge",
    text:
      "Open files and connections; their limit is process.descriptorLimit; on Linux only",
  },
  "process.descriptorLimit": {
    kind: "gauge",
    text: "Number of files and connections that may be open; on Linux only",
  },
  "process.loopDelayMs": {
    kind: "gauge",
    text:
      "Longest delay of the event loop in the last 5 s, in ms; at process.loopDelayLimitMs peers count the instance as lost",
  },
  "process.loopDelayLimitMs": {
    kind: "gauge",
    text: "Time without contact after which peers count an instance as lost",
  },
} as const;
