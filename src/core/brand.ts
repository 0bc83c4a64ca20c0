/** Branded primitives: two ids of one primitive type can't be mixed up, at no cost at run time. */

declare const mark: unique symbol

/** A primitive `T` that only code naming `N` accepts. Made by a cast where the value enters the program. */
export type Brand<T, N extends string> = T & { readonly [mark]: N }
