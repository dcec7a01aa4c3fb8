/** Paths by which an instance reaches a target. */
export const Path = {
  /** A connection of the instance itself. */
  Direct: "direct",
  /** A connection that another instance opens and forwards. */
  Relayed: "relayed",
} as const;

/** One of the values of {@link Path}. */
export type Path = typeof Path[keyof typeof Path];
