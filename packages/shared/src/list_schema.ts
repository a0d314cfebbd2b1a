/**
 * Schemas of lists that other processes send.
 *
 * @module
 */
import * as z from "zod";

/**
 * Creates the schema of a list, which is refused at its first malformed item.
 * z.array describes what is wrong with each item, in hundreds of bytes, and an
 * answer of some megabytes can hold a million of them.
 */
export function createListSchema<T>(item: z.ZodType<T>) {
  return z.custom<readonly unknown[]>(Array.isArray).transform(
    (list, context): T[] => {
      const items: T[] = [];
      for (const [index, value] of list.entries()) {
        const checked = item.safeParse(value);
        if (!checked.success) {
          context.addIssue(`item ${index} is malformed`);
          return z.NEVER;
        }
        items.push(checked.data);
      }
      return items;
    },
  );
}
