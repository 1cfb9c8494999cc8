/// @file
/// Forward declarations of the assembly module, which forms engines into
/// groups, one model per group, for endpoints that publish themselves.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_FWD_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_FWD_HPP

namespace coltsfoottrail {

class Assembler;
class LoadPacer;
class OutstandingJoins;
struct AssemblyTimes;
struct AssemblyView;
struct SeatCommand;
struct GroupSighting;

} // namespace coltsfoottrail

#endif
